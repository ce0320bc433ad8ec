// A token bucket for all packets, and a queue for bulk packets.

#include <arbutusport/relay/egress_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

namespace {

// IPv4 and UDP headers.
constexpr std::size_t header_bytes = 28;

double wire_bytes(std::size_t datagram_bytes) {
    return static_cast<double>(datagram_bytes + header_bytes);
}

} // namespace

egress_scheduler::egress_scheduler(egress_options options, send_function send)
    : options_(options), send_(std::move(send)),
      available_bytes_(bytes_in(options.burst)) {}

double egress_scheduler::bytes_in(duration time) const {
    return options_.link_bytes_per_second * options_.usable_share *
           std::chrono::duration<double>(time).count();
}

void egress_scheduler::refill(time_point now) {
    const duration passed = std::max(now - updated_at_, duration::zero());
    updated_at_ = now;
    // Small packets and own messages may take the link's whole capacity, but
    // leave no debt that holds up bulk packets for longer than these may wait.
    available_bytes_ =
        std::clamp(available_bytes_ + bytes_in(passed),
                   -bytes_in(options_.max_wait), bytes_in(options_.burst));
}

void egress_scheduler::send_now(machine_address to, routing_mark mark,
                                byte_view datagram) {
    available_bytes_ -= wire_bytes(datagram.size());
    send_(to, mark, datagram);
}

bool egress_scheduler::submit(machine_address to, routing_mark mark,
                              byte_view datagram, time_point now) {
    refill(now);
    const bool is_bulk = datagram.size() >= options_.bulk_bytes;
    if (!is_bulk || (queue_.empty() && available_bytes_ > 0)) {
        send_now(to, mark, datagram);
        return true;
    }
    if (wire_bytes(queued_bytes_ + datagram.size()) >
        bytes_in(options_.max_wait)) {
        ++dropped_;
        return false;
    }
    ++delayed_;
    queued_bytes_ += datagram.size();
    queue_.push_back({to, mark, {datagram.begin(), datagram.end()}});
    return true;
}

void egress_scheduler::charge(std::size_t datagram_bytes, time_point now) {
    refill(now);
    available_bytes_ -= wire_bytes(datagram_bytes);
}

void egress_scheduler::flush(time_point now) {
    if (queue_.empty())
        return;
    refill(now);
    while (!queue_.empty() && available_bytes_ > 0) {
        const packet it = std::move(queue_.front());
        queue_.pop_front();
        queued_bytes_ -= it.datagram.size();
        send_now(it.to, it.mark, it.datagram);
    }
}

} // namespace arbutusport::relay
