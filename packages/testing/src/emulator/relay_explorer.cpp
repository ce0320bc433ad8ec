// Enumerates the combinations of delayed and dropped messages.

#include <arbutusport/emulator/relay_explorer.hpp>

namespace arbutusport::emulator {

namespace {

// Long enough for hellos, reports and the first listing.
constexpr duration startup_time = std::chrono::seconds(2);

class explorer {
public:
    explorer(const exploration_options& options,
             const explored_scenario& scenario)
        : options_(options), scenario_(scenario) {}

    exploration run() {
        explore_from(0, options_.max_delayed, options_.max_dropped);
        return result_;
    }

private:
    // Runs all combinations of the messages from `first` on.
    void explore_from(std::size_t first, std::size_t late, std::size_t lost) {
        if (!result_.failure.empty())
            return;
        run_once();
        for (std::size_t i = first; i < options_.messages; ++i) {
            if (late > 0) {
                chosen_[i] = options_.extra_delay;
                explore_from(i + 1, late - 1, lost);
            }
            if (lost > 0) {
                chosen_[i] = std::nullopt;
                explore_from(i + 1, late, lost - 1);
            }
            chosen_.erase(i);
        }
    }

    void run_once() {
        if (!result_.failure.empty())
            return;
        ++result_.runs;
        relay_world world(options_.world);
        world.run_until(startup_time);
        std::string failure =
            scenario_(world, [&] { world.set_deviations(chosen_); });
        for (const std::string& it : world.found_violations())
            failure += it + '\n';
        if (failure.empty())
            return;
        result_.failure = failure;
        result_.failing_deviations = chosen_;
    }

    const exploration_options& options_;
    const explored_scenario& scenario_;
    deviations chosen_;
    exploration result_;
};

} // namespace

exploration explore(const exploration_options& options,
                    const explored_scenario& scenario) {
    return explorer(options, scenario).run();
}

std::string to_string(const deviations& choices) {
    std::string out;
    for (const auto& [index, delay] : choices)
        out += std::to_string(index) + (delay ? " late " : " lost ");
    return out;
}

} // namespace arbutusport::emulator
