// Hosts with slots and a short queue, entries with reports of some age.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/relay_placement_trace.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <random>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t host_slots = 2;
constexpr std::size_t queue_length = 8;
constexpr std::size_t data_centres = 3;
constexpr double mean_work_s = 0.026;
constexpr double aim_s = 0.25;
constexpr double near_interval_s = 0.4;
constexpr double far_interval_s = 0.8;
// From the opening to the first request, and from an answer without a pause.
constexpr double round_trip_s = 0.01;
constexpr double long_flow_share = 0.7;

struct flow {
    struct request {
        double pause_s = 0;
        double work_s = 0;
    };

    double at_s = 0;
    std::uint64_t hash = 0;
    std::size_t entry = 0;
    std::vector<request> requests;
    std::size_t host = 0;
    std::size_t next = 0;
};

// Mean 1, lognormal with a spread of 0.5, and 3% of 7 times.
double draw_work(std::mt19937_64& random) {
    std::lognormal_distribution<double> body(-0.125, 0.5);
    const double tail = std::bernoulli_distribution(0.03)(random) ? 7 : 1;
    return body(random) * tail / 1.18;
}

std::vector<flow> make_flows(const placement_trace_options& options) {
    std::mt19937_64 random(options.seed);
    double capacity = 0;
    for (std::size_t i = 0; i < options.hosts; ++i)
        capacity += host_slots * options.speeds[i % options.speeds.size()];
    const double rate = options.load * capacity / mean_work_s;
    // Long flows live 12.5 s on average and pause for 1 s between requests.
    std::uniform_real_distribution<double> life(5, 20);
    std::exponential_distribution<double> pause(1.0);
    const double long_rate = long_flow_share * rate / 13.5;
    const double rates[] = {long_rate, (1 - long_flow_share) * rate};
    std::vector<flow> out;
    for (int kind = 0; kind < 2; ++kind) {
        std::exponential_distribution<double> gap(rates[kind]);
        for (double at = gap(random); at < options.end_s; at += gap(random)) {
            flow it{.at_s = at,
                    .hash = random(),
                    .entry = random() % options.entries};
            double left = kind == 0 ? life(random) : 0;
            double wait = round_trip_s;
            do {
                it.requests.push_back({wait, mean_work_s * draw_work(random)});
                wait = std::max(pause(random), round_trip_s);
                left -= wait;
            } while (left > 0);
            out.push_back(std::move(it));
        }
    }
    std::ranges::sort(out, {}, &flow::at_s);
    return out;
}

struct host {
    double speed = 1;
    std::uint32_t flows = 0;
    std::deque<std::pair<flow*, double>> waiting;
    // Ends of the requests in progress.
    std::vector<double> ends;
    double busy = 0;
    double busy_at = 0;
    double service_s = 0;
    double rate = 0;
    double rate_at = 0;

    std::uint32_t outstanding() const {
        return static_cast<std::uint32_t>(ends.size() + waiting.size());
    }
    void advance(double now) {
        const double present = outstanding();
        busy = present + (busy - present) * std::exp(busy_at - now);
        busy_at = now;
    }
};

struct timed {
    double at = 0;
    std::function<void()> action;
    bool operator>(const timed& other) const { return at > other.at; }
};

class placement_simulation {
public:
    placement_simulation(const placement_trace_options& options,
                         const placement_rule& rule)
        : options_(options), rule_(rule), flows_(make_flows(options)),
          hosts_(options.hosts),
          views_(options.entries, std::vector<relay::candidate>(options.hosts)),
          reported_at_(options.entries, std::vector<double>(options.hosts)),
          random_(options.seed + 1) {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
            hosts_[i].speed = options.speeds[i % options.speeds.size()];
        for (std::size_t e = 0; e < views_.size(); ++e)
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                // Every data centre has hosts of each speed.
                const bool local = e % data_centres == i / 3 % data_centres;
                views_[e][i] = {.machine = relay::machine_address(
                                    static_cast<std::uint32_t>(i + 1)),
                                .local = local,
                                .slots = host_slots};
                const double start =
                    e < options.started_late ? options.measured_from_s : 0;
                const double wait = local ? near_interval_s : far_interval_s;
                after(start + uniform() * wait,
                      [=, this] { report(e, i, wait); });
            }
        for (flow& it : flows_)
            after(it.at_s, [this, &it] { open(it); });
    }

    placement_result run() {
        while (!events_.empty() && events_.top().at < options_.end_s) {
            const timed it = events_.top();
            events_.pop();
            now_ = it.at;
            it.action();
        }
        return result();
    }

private:
    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    void after(double delay, std::function<void()> action) {
        events_.push({now_ + delay, std::move(action)});
    }
    bool is_measured() const { return now_ >= options_.measured_from_s; }
    bool is_faulty(std::size_t i) const { return i == 0 && is_measured(); }

    // Flows of absent entries go to the others.
    std::size_t entry_of(const flow& it) const {
        const std::size_t absent =
            is_measured() ? options_.ended : options_.started_late;
        return it.entry >= absent
                   ? it.entry
                   : absent + it.entry % (options_.entries - absent);
    }

    void open(flow& it) {
        const std::size_t entry = entry_of(it);
        std::vector<relay::candidate> all = views_[entry];
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i].report_age = duration(static_cast<duration::rep>(
                1e6 * (now_ - reported_at_[entry][i])));
        const auto ranked = relay::ranked_hosts(std::move(all), it.hash);
        it.host = ranked[rule_(ranked, it.hash)].machine.value() - 1;
        host& at = hosts_[it.host];
        ++at.flows;
        if (is_measured())
            openings_.emplace_back(now_, it.host);
        // The announcement reaches the entries of the data centre.
        for (std::size_t e = entry % data_centres; e < views_.size();
             e += data_centres) {
            relay::candidate& seen = views_[e][it.host];
            ++seen.opened_since;
            seen.flows = at.flows;
            seen.outstanding = at.outstanding();
        }
        after(it.requests.front().pause_s, [this, &it] { arrive(it); });
    }

    void arrive(flow& from) {
        host& it = hosts_[from.host];
        it.advance(now_);
        it.rate = 1 + it.rate * std::exp(it.rate_at - now_);
        it.rate_at = now_;
        sent_ += is_measured() ? 1 : 0;
        const bool fails = is_faulty(from.host) && options_.answers_errors;
        if (fails)
            it.service_s += (0.001 - it.service_s) * 0.05;
        if (fails || it.outstanding() >= host_slots + queue_length) {
            shed_ += is_measured() ? 1 : 0;
            proceed(from);
        } else if (it.ends.size() < host_slots) {
            start(from, now_);
        } else {
            it.waiting.emplace_back(&from, now_);
        }
    }

    void start(flow& from, double arrived_at) {
        host& it = hosts_[from.host];
        const bool is_faulty_host = is_faulty(from.host);
        const double speed =
            it.speed * (is_faulty_host ? options_.changed_speed : 1);
        const double service_s = from.requests[from.next].work_s / speed;
        const double end = now_ + service_s;
        it.ends.push_back(end);
        if (is_faulty_host && options_.hangs)
            return;
        it.service_s +=
            (service_s - it.service_s) * (it.service_s > 0 ? 0.02 : 1);
        if (arrived_at >= options_.measured_from_s)
            times_.push_back(end - arrived_at);
        after(service_s, [this, end, &from] { finish(from, end); });
    }

    void finish(flow& from, double end) {
        host& it = hosts_[from.host];
        it.advance(now_);
        it.ends.erase(std::ranges::find(it.ends, end));
        proceed(from);
        if (it.waiting.empty())
            return;
        const auto [next, arrived_at] = it.waiting.front();
        it.waiting.pop_front();
        start(*next, arrived_at);
    }

    void proceed(flow& it) {
        if (++it.next < it.requests.size())
            after(it.requests[it.next].pause_s, [this, &it] { arrive(it); });
        else
            --hosts_[it.host].flows;
    }

    void report(std::size_t entry, std::size_t i, double wait) {
        after(wait, [=, this] { report(entry, i, wait); });
        if (uniform() < options_.lost_reports)
            return;
        host& it = hosts_[i];
        it.advance(now_);
        relay::candidate out = views_[entry][i];
        out.busy = it.busy;
        out.outstanding = it.outstanding();
        out.flows = it.flows;
        out.opened_since = 0;
        double left_s = double(it.waiting.size()) * it.service_s;
        for (const double end : it.ends)
            left_s += std::max(end - now_, options_.hangs ? it.service_s : 0);
        // Outdated costs are those of the next host, of another speed.
        const double factor =
            options_.outdated_costs
                ? it.speed / hosts_[(i + 1) % hosts_.size()].speed
                : 1;
        if (i >= options_.without_work && it.service_s > 0)
            out.work = relay::host_work{
                .backlog_us =
                    static_cast<std::uint32_t>(1e6 * left_s / host_slots),
                .service_us =
                    static_cast<std::uint32_t>(1e6 * it.service_s * factor),
                .requests_milli_per_second = static_cast<std::uint32_t>(
                    1000 * it.rate * std::exp(it.rate_at - now_))};
        after(options_.report_delay_s, [=, this] {
            views_[entry][i] = out;
            reported_at_[entry][i] = now_;
        });
    }

    double peak(double window_s) const {
        std::map<int, std::vector<double>> windows;
        for (const auto& [at, i] : openings_) {
            const double from = at - options_.measured_from_s;
            auto& counts = windows[static_cast<int>(from / window_s)];
            counts.resize(hosts_.size());
            counts[i] += 1 / hosts_[i].speed;
        }
        double sum = 0;
        for (const auto& [n, counts] : windows) {
            double openings = 0;
            for (std::size_t i = 0; i < counts.size(); ++i)
                openings += counts[i] * hosts_[i].speed;
            sum += std::ranges::max(counts) * speed_sum() / openings;
        }
        return sum / double(windows.size());
    }

    double speed_sum() const {
        return std::accumulate(
            hosts_.begin(), hosts_.end(), 0.0,
            [](double sum, const host& it) { return sum + it.speed; });
    }

    placement_result result() {
        std::ranges::sort(times_);
        const auto at = [&](double share) {
            return 1000 * times_[static_cast<std::size_t>(
                              share * double(times_.size() - 1))];
        };
        const auto in_time = std::ranges::upper_bound(times_, aim_s);
        const auto first = std::ranges::count(
            openings_, std::size_t{0}, &std::pair<double, std::size_t>::second);
        return {.p50_ms = at(0.5),
                .p99_ms = at(0.99),
                .in_time = double(in_time - times_.begin()) / double(sent_),
                .shed = double(shed_) / double(sent_),
                .peak_in_report_interval = peak(near_interval_s),
                .peak_in_second = peak(1),
                .share_of_first = double(first) / double(openings_.size())};
    }

    placement_trace_options options_;
    const placement_rule& rule_;
    std::vector<flow> flows_;
    std::vector<host> hosts_;
    // By entry and host.
    std::vector<std::vector<relay::candidate>> views_;
    std::vector<std::vector<double>> reported_at_;
    std::mt19937_64 random_;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> events_;
    double now_ = 0;
    std::vector<double> times_;
    std::vector<std::pair<double, std::size_t>> openings_;
    std::size_t sent_ = 0;
    std::size_t shed_ = 0;
};

} // namespace

placement_result run_placement_trace(const placement_trace_options& options,
                                     const placement_rule& rule) {
    return placement_simulation(options, rule).run();
}

} // namespace arbutusport::emulator
