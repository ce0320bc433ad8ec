// Sends the requests of simulated clients at their intervals.

#include <arbutusport/emulator/virtual_clients.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t client_address = 0x0a000001;
constexpr auto tick_interval = std::chrono::milliseconds(20);
/// One in this many reads requests the large text.
constexpr std::uint32_t large_text_share = 20;

} // namespace

virtual_clients::virtual_clients(std::uint64_t seed, virtual_time& clock,
                                 send_function send)
    : clock_(clock), send_(std::move(send)), random_(seed) {}

void virtual_clients::add(const load_options& load, const endpoint& service) {
    for (std::uint32_t n = 1; n <= load.clients; ++n) {
        auto it = std::make_unique<client>();
        it->name = load.service + "-client-" + std::to_string(n);
        it->load = load;
        it->flow = {{client_address, next_port_++}, service};
        it->state = std::make_unique<load_client>(client_options{
            .name = it->name, .service = load.service, .seed = random_()});
        by_endpoint_[it->flow.client] = it.get();
        client& added = *clients_.emplace_back(std::move(it));
        boost::random::uniform_int_distribution<duration::rep> offset(
            0, load.interval.count());
        const auto first = duration(offset(random_));
        if (n * 100 <= load.observers * load.clients)
            clock_.after(first, [this, &added] {
                send(added, added.state->observe(clock_.now()));
            });
        else
            clock_.after(first, [this, &added] { act(added); });
        clock_.after(tick_interval, [this, &added] { tick(added); });
    }
}

void virtual_clients::act(client& it) {
    if (stopped_)
        return;
    boost::random::uniform_int_distribution<std::uint32_t> draw(0, 99);
    const auto now = clock_.now();
    // The share of observers refers to clients, not to requests.
    const auto share = 100 - it.load.observers;
    if (share > 0 && draw(random_) * share < it.load.contributions * 100)
        send(it, it.state->contribute(now));
    else
        send(it, it.state->read_text(
                     draw(random_) % large_text_share == 0 ? "large" : "notice",
                     now));
    clock_.after(it.load.interval, [this, &it] { act(it); });
}

void virtual_clients::tick(client& it) {
    send(it, it.state->on_tick(clock_.now()));
    if (!stopped_ || it.state->open() > 0)
        clock_.after(tick_interval, [this, &it] { tick(it); });
}

void virtual_clients::send(const client& it,
                           const std::vector<bytes>& datagrams) {
    for (const bytes& data : datagrams)
        send_(it.flow, data);
}

void virtual_clients::on_datagram(const flow_key& flow, const bytes& datagram) {
    const auto it = by_endpoint_.find(flow.client);
    if (it != by_endpoint_.end() && it->second->flow == flow)
        send(*it->second,
             it->second->state->on_datagram(datagram, clock_.now()));
}

std::size_t virtual_clients::rebind(const std::string& pattern) {
    std::size_t matched = 0;
    for (auto& it : clients_) {
        if (!matches(pattern, it->name))
            continue;
        by_endpoint_.erase(it->flow.client);
        it->flow.client.port = next_port_++;
        by_endpoint_[it->flow.client] = it.get();
        ++matched;
    }
    return matched;
}

void virtual_clients::stop() {
    stopped_ = true;
    for (auto& it : clients_)
        send(*it, it->state->stop());
}

history virtual_clients::events() const {
    history out;
    for (const auto& it : clients_)
        std::ranges::copy(it->state->events(), std::back_inserter(out));
    return out;
}

client_counters virtual_clients::totals() const {
    client_counters out;
    for (const auto& it : clients_) {
        const auto& n = it->state->counters();
        out.sent += n.sent;
        out.answered += n.answered;
        out.not_run += n.not_run;
        out.unknown += n.unknown;
        out.timeout += n.timeout;
        out.broken_flows += n.broken_flows;
        out.silent_observations += n.silent_observations;
        out.closing_notices += n.closing_notices;
        out.notifications += n.notifications;
        out.retransmissions += n.retransmissions;
        out.unexpected_codes += n.unexpected_codes;
    }
    return out;
}

std::uint64_t virtual_clients::broken_flows(const std::string& service) const {
    std::uint64_t sum = 0;
    for (const auto& it : clients_)
        if (it->load.service == service)
            sum += it->state->counters().broken_flows;
    return sum;
}

std::size_t virtual_clients::open() const {
    std::size_t sum = 0;
    for (const auto& it : clients_)
        sum += it->state->open();
    return sum;
}

double virtual_clients::p99_latency_ms() const {
    std::vector<duration> all;
    for (const auto& it : clients_)
        std::ranges::copy(it->state->latencies(), std::back_inserter(all));
    if (all.empty())
        return 0;
    const auto percentile =
        all.begin() + static_cast<std::ptrdiff_t>((all.size() * 99 - 1) / 100);
    std::ranges::nth_element(all, percentile);
    return std::chrono::duration<double, std::milli>(*percentile).count();
}

} // namespace arbutusport::emulator
