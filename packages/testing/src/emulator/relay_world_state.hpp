// Packets and component states of the simulated relay. A packet is a memory
// copy of its fields, since it never leaves the process.
#pragma once

#include <arbutusport/emulator/relay_world.hpp>

#include <algorithm>
#include <cstring>

namespace arbutusport::emulator {

using relay::machine_address;
using std::chrono::milliseconds;

inline constexpr std::uint32_t first_entry_address = 0x0a000001;
inline constexpr std::uint32_t first_host_address = 0x0b000001;
inline constexpr std::uint32_t first_client_address = 0x64400001;
inline const endpoint service_address{0xc6120001, 443};
inline const service_id main_service = service_id_of("participa");
inline constexpr duration tick_interval = milliseconds(25);
inline constexpr duration store_answer_time = milliseconds(4);
// Client retransmission: first after 200 ms, then the interval doubles.
inline constexpr duration first_retransmission = milliseconds(200);
inline constexpr duration last_retransmission = milliseconds(1600);
inline constexpr std::uint16_t request_bytes = 200;
inline constexpr std::size_t min_packet_bytes = 34;
// IPv4 and UDP headers of each datagram.
inline constexpr std::size_t datagram_overhead = 28;

using packet_fields = relay_world::packet_fields;

inline bytes pack(const packet_fields& it) {
    bytes out(std::max(sizeof it, min_packet_bytes) + it.payload);
    std::memcpy(out.data(), &it, sizeof it);
    return out;
}

inline packet_fields unpack(byte_view data) {
    packet_fields it;
    std::memcpy(&it, data.data(), sizeof it);
    return it;
}

// Whether only builds that know limits of cold hosts exchange the message.
inline bool concerns_limits(const relay::message& it) {
    if (const auto* hello = std::get_if<relay::hello>(&it))
        return hello->wants_work;
    if (const auto* report = std::get_if<relay::load_report>(&it))
        return report->work.has_value();
    return std::holds_alternative<relay::operator_intent>(it);
}

// Whether only builds that confirm directories exchange the message.
inline bool concerns_positions(const relay::message& it) {
    const auto* delta = std::get_if<relay::directory_delta>(&it);
    return (delta != nullptr && delta->wants_position) ||
           std::holds_alternative<relay::directory_position>(it) ||
           std::holds_alternative<relay::directory_part_request>(it);
}

// All machines share one clock. It starts far from 0, since a time of 0 means
// unknown.
inline unix_milliseconds wall_clock(duration now) {
    constexpr std::uint64_t epoch = 1'700'000'000'000;
    return unix_milliseconds(epoch +
                             static_cast<std::uint64_t>(now.count() / 1000));
}

inline relay::segment decode(byte_view data) {
    const auto it = unpack(data);
    relay::segment out;
    out.flow = it.flow;
    out.syn = it.syn;
    out.ack = it.ack;
    out.returned = it.returned;
    out.sequence = it.sequence;
    out.acknowledged = it.acknowledged;
    out.payload_bytes = it.payload;
    out.datagram = data;
    return out;
}

struct relay_world::flow_state {
    flow_key key;
    std::uint32_t client_initial_sequence = 0;
    std::uint32_t host_initial_sequence = 0;
    bool open = false;
    bool reset = false;
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    // The entry that the flow was opened through.
    std::size_t entry = 0;
};

struct relay_world::host_state {
    std::unique_ptr<relay::host_relay> process;
    std::uint64_t process_run = 0;
    service_id service = main_service;
    std::uint64_t boot = 1;
    // The boot number in the store's registration.
    std::uint64_t registered_boot = 1;
    bool running = true;
    bool listening = true;
    bool registered = true;
    bool draining = false;
    bool silent = false;
    duration booted_at{};
    std::uint64_t placed = 0;
    std::uint64_t openings_sent = 0;
    std::vector<duration> opened_at;
    // First sequence number by flow.
    std::map<flow_key, std::uint32_t> flows;
    endpoint address;
};

struct relay_world::entry_state {
    std::unique_ptr<relay::entry_relay> process;
    std::uint64_t run = 0;
    bool has_store_access = true;
    bool is_reader = true;
    bool isolated = false;
    bool disregards_eras = false;
    bool is_previous_build = false;
    duration change_delay{};
    // When the link has sent everything that waits for it.
    duration link_free_at{};
    machine_address machine;
    message_count traffic;
};

} // namespace arbutusport::emulator
