// Rate control, sockets and statistics of the load generator.

#include <arbutusport/emulator/load_generator.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/tool.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr int poll_timeout_ms = 2;
constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr int small_text_count = 9;

struct flow_client {
    endpoint service;
    load_client client;
    std::unique_ptr<udp_socket> socket;

    void send(const std::vector<bytes>& datagrams) {
        for (const bytes& data : datagrams)
            socket->send(service, data);
    }
};

duration percentile(std::vector<duration>& sorted, double share) {
    if (sorted.empty())
        return {};
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(sorted.size() - 1));
    return sorted[at];
}

double milliseconds_of(duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

void add(client_counters& sum, const client_counters& it) {
    sum.sent += it.sent;
    sum.answered += it.answered;
    sum.not_run += it.not_run;
    sum.unknown += it.unknown;
    sum.timeout += it.timeout;
    sum.broken_flows += it.broken_flows;
    sum.closing_notices += it.closing_notices;
    sum.notifications += it.notifications;
    sum.restarted_transfers += it.restarted_transfers;
    sum.retransmissions += it.retransmissions;
    sum.unexpected_codes += it.unexpected_codes;
}

} // namespace

std::string to_string(const load_summary& it) {
    std::ostringstream out;
    out << "requests=" << it.total.sent << " answered=" << it.total.answered
        << " not_run=" << it.total.not_run << " unknown=" << it.total.unknown
        << " lost=" << it.total.timeout
        << " broken_flows=" << it.total.broken_flows
        << " closing_notices=" << it.total.closing_notices
        << " notifications=" << it.total.notifications
        << " restarted_transfers=" << it.total.restarted_transfers
        << " retransmissions=" << it.total.retransmissions
        << " unexpected_codes=" << it.total.unexpected_codes
        << " held_back=" << it.held_back
        << " p50_ms=" << milliseconds_of(it.p50)
        << " p99_ms=" << milliseconds_of(it.p99);
    return out.str();
}

class load_generator::impl {
public:
    explicit impl(load_settings settings)
        : settings_(std::move(settings)), random_(settings_.seed) {
        for (const service_target& service : settings_.services)
            for (std::size_t i = 0; i < settings_.clients; ++i)
                clients_.push_back(make_client(service, i));
    }

    void run(const std::function<bool()>& is_stopped) {
        const time_point start = monotonic_now();
        const time_point end = start + settings_.length;
        bool has_rebound = settings_.rebind <= 0;
        for (auto& it : clients_)
            if (draw_with_probability(settings_.observers))
                it.send(it.client.observe(start));
        time_point now = start;
        for (; now < end && !is_stopped(); now = monotonic_now()) {
            start_due_requests(now - start, now);
            if (!has_rebound && now - start >= settings_.rebind_at) {
                has_rebound = true;
                rebind();
            }
            step();
        }
        for (auto& it : clients_)
            it.send(it.client.stop());
        while (!is_stopped() && has_open_requests())
            step();
    }

    load_summary summary() const {
        load_summary out;
        std::vector<duration> latencies;
        for (const auto& it : clients_) {
            add(out.total, it.client.counters());
            const auto& client_latencies = it.client.latencies();
            latencies.insert(latencies.end(), client_latencies.begin(),
                             client_latencies.end());
        }
        std::ranges::sort(latencies);
        out.p50 = percentile(latencies, 0.50);
        out.p99 = percentile(latencies, 0.99);
        out.held_back = held_back_;
        return out;
    }

    history events() const {
        history out;
        for (const auto& it : clients_)
            out.insert(out.end(), it.client.events().begin(),
                       it.client.events().end());
        return out;
    }

private:
    flow_client make_client(const service_target& service, std::size_t index) {
        client_options options = settings_.client;
        options.name =
            settings_.prefix + "-" + service.name + "-" + std::to_string(index);
        options.service = service.name;
        options.seed = hash64(options.name, settings_.seed);
        return {service.address, load_client(options), make_socket()};
    }

    static std::unique_ptr<udp_socket> make_socket() {
        return std::make_unique<udp_socket>(endpoint{loopback, 0});
    }

    bool draw_with_probability(double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    // Starts the requests that are due at the configured rate.
    void start_due_requests(duration elapsed, time_point now) {
        const double seconds = std::chrono::duration<double>(elapsed).count();
        const double due = seconds * settings_.rate *
                           static_cast<double>(settings_.services.size());
        for (; static_cast<double>(due_requests_) < due; ++due_requests_)
            start_request(due_requests_ % settings_.services.size(), now);
    }

    void start_request(std::size_t service, time_point now) {
        const std::size_t n = settings_.clients;
        const std::size_t first =
            std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
        for (std::size_t i = 0; i < n; ++i) {
            auto& it = clients_[service * n + (first + i) % n];
            if (it.client.open() >= settings_.max_open)
                continue;
            if (draw_with_probability(settings_.contributions))
                it.send(it.client.contribute(now));
            else
                it.send(it.client.read_text(draw_text(), now));
            return;
        }
        ++held_back_;
    }

    std::string draw_text() {
        if (draw_with_probability(settings_.large_texts))
            return "large";
        return "text-" + std::to_string(std::uniform_int_distribution<int>(
                             1, small_text_count)(random_));
    }

    // Replaces sockets, so that the clients continue with new source ports.
    void rebind() {
        for (auto& it : clients_)
            if (draw_with_probability(settings_.rebind))
                it.socket = make_socket();
    }

    void step() {
        std::vector<int> descriptors;
        descriptors.reserve(clients_.size());
        for (const auto& it : clients_)
            descriptors.push_back(it.socket->descriptor());
        for (const std::size_t i :
             wait_readable(descriptors, poll_timeout_ms)) {
            flow_client& it = clients_[i];
            it.socket->receive([&](const endpoint& from, byte_view data) {
                if (from == it.service)
                    it.send(it.client.on_datagram(data, monotonic_now()));
            });
        }
        const time_point now = monotonic_now();
        if (now < next_tick_)
            return;
        next_tick_ = now + tick_interval;
        for (auto& it : clients_)
            it.send(it.client.on_tick(now));
    }

    bool has_open_requests() const {
        return std::ranges::any_of(
            clients_, [](const auto& it) { return it.client.open() > 0; });
    }

    const load_settings settings_;
    std::mt19937_64 random_;
    // Clients of the same service are adjacent.
    std::vector<flow_client> clients_;
    std::uint64_t due_requests_ = 0;
    std::uint64_t held_back_ = 0;
    time_point next_tick_;
};

load_generator::load_generator(load_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}

load_generator::~load_generator() = default;

void load_generator::run(const std::function<bool()>& is_stopped) {
    impl_->run(is_stopped);
}

load_summary load_generator::summary() const {
    return impl_->summary();
}

history load_generator::events() const {
    return impl_->events();
}

} // namespace arbutusport::emulator
