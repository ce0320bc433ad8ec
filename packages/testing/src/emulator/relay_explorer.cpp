// Enumerates the choices of late and lost messages.

#include <arbutusport/emulator/relay_explorer.hpp>

namespace arbutusport::emulator {

namespace {

// Enough for hellos, reports and the first listing.
constexpr duration settled = std::chrono::seconds(2);

class explorer {
public:
    explorer(const exploration_options& options,
             const explored_scenario& scenario)
        : options_(options), scenario_(scenario) {}

    exploration run() {
        choose(0, options_.max_late, options_.max_lost);
        return out_;
    }

private:
    // All choices among the messages from `first` on.
    void choose(std::size_t first, std::size_t late, std::size_t lost) {
        if (!out_.failure.empty())
            return;
        play();
        for (std::size_t i = first; i < options_.messages; ++i) {
            if (late > 0) {
                chosen_[i] = options_.lateness;
                choose(i + 1, late - 1, lost);
            }
            if (lost > 0) {
                chosen_[i] = std::nullopt;
                choose(i + 1, late, lost - 1);
            }
            chosen_.erase(i);
        }
    }

    void play() {
        if (!out_.failure.empty())
            return;
        ++out_.runs;
        relay_world world(options_.world);
        world.run_until(settled);
        std::string wrong = scenario_(world, [&] { world.deviate(chosen_); });
        for (const std::string& it : world.found())
            wrong += it + '\n';
        if (wrong.empty())
            return;
        out_.failure = wrong;
        out_.failing = chosen_;
    }

    const exploration_options& options_;
    const explored_scenario& scenario_;
    deviations chosen_;
    exploration out_;
};

} // namespace

exploration explore(const exploration_options& options,
                    const explored_scenario& scenario) {
    return explorer(options, scenario).run();
}

std::string to_string(const deviations& it) {
    std::string out;
    for (const auto& [n, delay] : it)
        out += std::to_string(n) + (delay ? " late " : " lost ");
    return out;
}

} // namespace arbutusport::emulator
