// Measures a host's work from the packets of its flows, and states it in
// reports.

#include <arbutusport/relay/host_relay.hpp>

#include <algorithm>
#include <limits>

namespace arbutusport::relay {

namespace {

std::uint32_t saturate(double value) {
    constexpr double limit = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, limit));
}

std::uint32_t to_us(duration it) {
    return saturate(static_cast<double>(it.count()));
}

// Difference of two positions in a connection's sequence numbers.
std::int32_t distance(std::uint32_t from, std::uint32_t to) {
    return static_cast<std::int32_t>(to - from);
}

} // namespace

// A repetition of a request's only packet must not start the request over: the
// client repeats it after 200 ms when the host has not acknowledged it yet.
void host_relay::measure_client_data(flow_state& flow, const segment& packet,
                                     time_point now) {
    const std::uint32_t end = packet.sequence + packet.payload_bytes;
    if (distance(flow.client_data_end, packet.sequence) > 0)
        flow.client_data_has_gap = true;
    if (distance(flow.client_data_end, end) > 0)
        flow.client_data_end = end;
    else if (!flow.client_data_has_gap)
        return;
    work_.on_request(packet.flow, packet.flow.service, now);
    update_load(now);
}

// A repetition of the previous answer must not end the next request.
void host_relay::measure_host_data(flow_state& flow, const segment& packet,
                                   time_point now) {
    if (packet.ack && packet.acknowledged == flow.client_data_end)
        flow.client_data_has_gap = false;
    if (packet.payload_bytes == 0)
        return;
    const std::uint32_t end = packet.sequence + packet.payload_bytes;
    if (distance(flow.host_data_end, end) <= 0)
        return;
    flow.host_data_end = end;
    work_.on_answer(packet.flow, now);
    update_load(now);
}

// A copy of a packet must not count as a request in progress: after a restart
// of all processes thousands of copies arrive, and flows whose client has given
// up stay in the table.
void host_relay::update_load(time_point now) {
    load_.set(static_cast<std::uint32_t>(work_.requests()), now);
}

host_work host_relay::make_work(time_point now) const {
    return {.backlog_us = to_us(work_.backlog(now)),
            .service_us = to_us(work_.mean_service()),
            .service_high_us = to_us(work_.high_service()),
            .requests_milli_per_second =
                saturate(1000 * work_.request_rate(now)),
            .opening_room = opening_room_share(now)};
}

} // namespace arbutusport::relay
