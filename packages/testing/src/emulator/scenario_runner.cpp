// Scenarios in virtual time.

#include <arbutusport/emulator/scenario_runner.hpp>

#include <arbutusport/emulator/record_store.hpp>
#include <arbutusport/emulator/virtual_clients.hpp>
#include <arbutusport/emulator/virtual_fleet.hpp>
#include <arbutusport/emulator/virtual_links.hpp>
#include <arbutusport/emulator/virtual_time.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace arbutusport::emulator {

namespace {

using std::chrono::seconds;

/// Covers the start-up window and the first configuration exchange.
constexpr auto warm_up = seconds(8);
/// Longer than the longest client time-out.
constexpr auto settle_time = seconds(35);
/// A recording ends this long after the load, to limit the file size.
constexpr auto record_after_load = seconds(5);
/// Duration of a permanent effect.
constexpr auto permanent = std::chrono::hours(24);

class running_scenario {
public:
    running_scenario(const scenario& plan, const std::string& records_root,
                     const std::optional<recording>& record)
        : plan_(plan), store_(records_root + "/" + plan.records),
          links_(plan.links, plan.seed, clock_),
          clients_(plan.seed + 1, clock_,
                   [this](const flow_key& flow, const bytes& datagram) {
                       fleet_.receive_from_client(flow, datagram);
                   }),
          fleet_({.seed = plan.seed + 2,
                  .drain_timeout = plan.drain_timeout,
                  .to_client =
                      [this](const flow_key& flow, const bytes& datagram) {
                          clients_.on_datagram(flow, datagram);
                      },
                  .record_process = record ? record->process : "",
                  .record_to = record ? &record->to : nullptr},
                 store_, links_, clock_) {
        fleet_.record_publication(store_.head("").gen);
    }

    scenario_result run() {
        clock_.run_until(start_);
        for (const load_options& it : plan_.loads)
            clients_.add(it, service_address(it.service));
        for (const step& it : plan_.steps)
            clock_.at(start_ + it.at.time_since_epoch(),
                      [this, &it] { apply(it); });
        const time_point end = start_ + plan_.length;
        clock_.at(end, [this] {
            measure_balance();
            clients_.stop();
        });
        clock_.at(end + record_after_load,
                  [this] { fleet_.finish_recording(); });
        clock_.run_until(end + settle_time);
        return evaluate();
    }

private:
    endpoint service_address(const std::string& name) const {
        const auto record =
            nlohmann::json::parse(store_.text("service/" + name));
        return parse_endpoint(record["address"].get<std::string>()).value();
    }

    void apply(const step& it) {
        const duration lasting =
            it.lasting.count() > 0 ? it.lasting : permanent;
        switch (it.kind) {
        case step_kind::cut:
            links_.cut(it.subjects, it.arguments, clock_.now() + lasting);
            return;
        case step_kind::publish:
            store_.touch();
            fleet_.record_publication(store_.head("").gen);
            return;
        case step_kind::forge:
            fleet_.send_forged_packets();
            return;
        case step_kind::platform:
            set_platform(it, lasting);
            return;
        default:
            for (const std::string& subject : it.subjects)
                apply_to_subject(it, subject, lasting);
        }
    }

    void apply_to_subject(const step& it, const std::string& subject,
                          duration lasting) {
        switch (it.kind) {
        case step_kind::kill:
            return fleet_.kill(subject);
        case step_kind::restart:
            return fleet_.restart(subject);
        case step_kind::freeze:
            return fleet_.freeze(subject, lasting);
        case step_kind::list:
            return fleet_.mark_as_leaving(subject);
        case step_kind::drain:
            fleet_.set_upstream(subject, R"({"drain":true})");
            return edit_host_record(subject, "state", R"("draining")");
        case step_kind::activate:
            return edit_host_record(subject, "state", R"("active")");
        case step_kind::remove:
            return edit_host_record(subject, "state", R"("out")");
        case step_kind::reweight:
            return edit_host_record(subject, "weight", it.arguments.front());
        case step_kind::key:
            store_.set_key(std::stoul(subject), it.arguments.front());
            return fleet_.record_publication(store_.head("").gen);
        case step_kind::corrupt:
            return corrupt(subject);
        case step_kind::shed:
            return set_upstream_temporarily(subject, R"({"shed":true})",
                                            R"({"shed":false})", lasting);
        case step_kind::slow:
            return set_upstream_temporarily(subject, R"({"slow":20})",
                                            R"({"slow":1})", lasting);
        case step_kind::rebind:
            if (clients_.rebind(subject) == 0)
                throw std::runtime_error("no client matches " + subject);
            return;
        default:
            return;
        }
    }

    void edit_host_record(const std::string& host, const std::string& field,
                          const std::string& value) {
        if (!store_.edit_host(host, field, value))
            throw std::runtime_error("no record has the host " + host);
        fleet_.record_publication(store_.head("").gen);
    }

    // Publishes a truncated record; the original text returns after 3 s, or the
    // next edit of the service repairs it.
    void corrupt(const std::string& key) {
        const std::string text = store_.text(key);
        store_.publish(key, text.substr(0, text.size() / 2));
        clock_.after(seconds(3), [this, key, text] {
            store_.publish(key, text);
            fleet_.record_publication(store_.head("").gen);
        });
    }

    void set_upstream_temporarily(const std::string& subject,
                                  const std::string& on, const std::string& off,
                                  duration lasting) {
        fleet_.set_upstream(subject, on);
        clock_.after(lasting, [this, subject, off] {
            fleet_.set_upstream(subject, off);
        });
    }

    void set_platform(const step& it, duration lasting) {
        const std::string& name = it.subjects.front();
        store_mode mode = store_mode::up;
        if (name == "down")
            mode = store_mode::down;
        else if (name == "stale")
            mode = store_mode::stale;
        else if (name != "up")
            throw std::runtime_error("platform " + name +
                                     ", allowed up, down, stale");
        for (const std::string& data_centre : data_centres(it)) {
            store_.set_mode(mode, data_centre);
            clock_.after(lasting, [this, data_centre] {
                store_.set_mode(store_mode::up, data_centre);
            });
        }
    }

    std::vector<std::string> data_centres(const step& it) const {
        if (!it.arguments.empty())
            return it.arguments;
        std::vector<std::string> out;
        for (const auto& process : fleet_.processes())
            if (std::ranges::find(out, process->data_centre) == out.end())
                out.push_back(process->data_centre);
        return out;
    }

    // Compares the flow counts of active hosts when the load stops, for the
    // service with the most hosts.
    void measure_balance() {
        std::map<std::string, std::vector<double>> flows;
        for (const auto& it : fleet_.processes())
            if (it->host && !it->host->is_draining())
                flows[it->service].push_back(
                    static_cast<double>(it->host->flows().flow_count()));
        const auto largest = std::ranges::max_element(
            flows, {}, [](const auto& it) { return it.second.size(); });
        if (largest == flows.end())
            return;
        double sum = 0;
        for (const double flow_count : largest->second)
            sum += flow_count;
        if (sum > 0)
            imbalance_ = std::ranges::max(largest->second) *
                         static_cast<double>(largest->second.size()) / sum;
    }

    scenario_result evaluate() {
        scenario_result out;
        out.events = clients_.events();
        std::ranges::copy(fleet_.upstream_events(),
                          std::back_inserter(out.events));
        out.violations = check(out.events);
        add_client_figures(out.figures);
        add_fleet_figures(out.figures);
        for (int i = 0; i <= static_cast<int>(violation_kind::work_after_drain);
             ++i) {
            const auto kind = static_cast<violation_kind>(i);
            out.figures[to_string(kind)] =
                static_cast<double>(count(out.violations, kind));
        }
        for (const expectation& it : plan_.expectations)
            check_expectation(it, out);
        return out;
    }

    void add_client_figures(std::map<std::string, double>& out) const {
        const client_counters n = clients_.totals();
        out["sent"] = static_cast<double>(n.sent);
        out["answered"] = static_cast<double>(n.answered);
        out["answered_ratio"] = n.sent == 0 ? 1
                                            : static_cast<double>(n.answered) /
                                                  static_cast<double>(n.sent);
        out["not_run"] = static_cast<double>(n.not_run);
        out["unknown"] = static_cast<double>(n.unknown);
        out["timeout"] = static_cast<double>(n.timeout);
        out["broken_flows"] = static_cast<double>(n.broken_flows);
        out["silent_observations"] = static_cast<double>(n.silent_observations);
        out["closing_notices"] = static_cast<double>(n.closing_notices);
        out["notifications"] = static_cast<double>(n.notifications);
        out["unexpected_codes"] = static_cast<double>(n.unexpected_codes);
        out["open"] = static_cast<double>(clients_.open());
        out["p99_latency_ms"] = clients_.p99_latency_ms();
    }

    void add_fleet_figures(std::map<std::string, double>& out) const {
        const fleet_counters& n = fleet_.counters();
        out["imbalance"] = imbalance_;
        out["reverted"] = static_cast<double>(n.reverted_generations);
        out["refused"] = static_cast<double>(n.refused_configurations);
        const generation newest = store_.head("").gen;
        double draining = 0;
        for (const auto& it : fleet_.processes())
            if (it->host && it->host->is_draining())
                ++draining;
        out["draining"] = draining;
        double behind = 0;
        for (const auto& it : fleet_.processes())
            if (it->running() && it->in_force != newest)
                ++behind;
        out["behind"] = behind;
        double slowest = 0;
        for (const auto& [gen, when] : n.published)
            if (const auto it = n.last_in_force.find(gen);
                it != n.last_in_force.end() && it->first == newest)
                slowest =
                    std::chrono::duration<double>(it->second - when).count();
        out["config_in_force_s"] = slowest;
        for (const auto& [reason, count] : n.drops)
            out["drops_" + reason] = static_cast<double>(count);
    }

    static void check_expectation(const expectation& it, scenario_result& out) {
        auto found = out.figures.find(it.figure);
        // A drop reason that never occurred has no figure yet.
        if (found == out.figures.end() && it.figure.starts_with("drops_"))
            found = out.figures.emplace(it.figure, 0).first;
        if (found == out.figures.end())
            throw std::runtime_error("line " + std::to_string(it.line) +
                                     ": no figure " + it.figure);
        const double value = found->second;
        const bool met = it.relation == comparison::equal ? value == it.bound
                         : it.relation == comparison::at_most
                             ? value <= it.bound
                             : value >= it.bound;
        if (!met)
            out.unmet.push_back({it, value});
    }

    const scenario& plan_;
    virtual_time clock_;
    record_store store_;
    virtual_links links_;
    virtual_clients clients_;
    virtual_fleet fleet_;
    const time_point start_{warm_up};
    double imbalance_ = 1;
};

const char* sign_of(comparison it) {
    switch (it) {
    case comparison::equal:
        return "==";
    case comparison::at_most:
        return "<=";
    default:
        return ">=";
    }
}

} // namespace

scenario_result run_scenario(const scenario& plan,
                             const std::string& records_root,
                             const std::optional<recording>& record) {
    return running_scenario(plan, records_root, record).run();
}

std::string to_string(const unmet_expectation& it) {
    std::ostringstream out;
    out << "line " << it.expected.line << ": expect " << it.expected.figure
        << ' ' << sign_of(it.expected.relation) << ' ' << it.expected.bound
        << ", found " << it.found;
    return out.str();
}

} // namespace arbutusport::emulator
