// Messages between relay processes. Each is one datagram; a directory is split
// into several messages.
//
// Positions in the store's first era are encoded as by processes that know no
// eras. Messages with positions in other eras have types of their own, which
// such processes drop: they would mistake a restored store for an old one.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace arbutusport::relay {

/// @brief Address of a machine; every process uses the same ports.
using machine_address = strong_value<struct machine_address_tag, std::uint32_t>;

/// @brief Registration, according to the directory, of the host on a relay
/// process's machine.
enum class registration : std::uint8_t {
    unknown, // the entry currently cannot read the store
    ready,
    draining,
    absent,
};

const char* to_string(registration it);

/// @brief Whether the host on a relay process's machine can be reached.
enum class host_state : std::uint8_t {
    alive,
    /// It no longer accepts connections, but may still serve its flows.
    listener_closed,
    dead,
};

/// @brief The operator's intent for a host, as its relay process needs it to
/// check opening packets. The newest position counts.
struct host_directive {
    revision as_of;
    /// The host's data centre is evacuated.
    bool evacuated = false;
    /// Opening packets that the cold host bears in a second; 0: no limit.
    double openings_per_second = 0;
    /// How much longer the host is cold.
    duration cold_left{};
    /// How long hosts of the service are cold after a start; 0: not known. It
    /// and the rate are also stated for a warm host, which may start anew
    /// beside its process while entries cannot learn of it.
    duration warmup{};

    friend bool operator==(const host_directive&,
                           const host_directive&) = default;
};

/// @brief Sent by an entry to a host's relay process at a regular interval.
struct hello {
    incarnation run;
    data_centre_id data_centre;
    duration idle_timeout{};
    registration registered = registration::unknown;
    /// When the registered host started, by its clock; 0 if unknown.
    unix_milliseconds host_started{};
    /// Requests all flows that the data centre's entries should know.
    bool wants_flows = false;
    /// The sender understands load_report::work. Sent, like the directive, with
    /// a type of its own, which earlier builds drop.
    bool wants_work = false;
    /// Requests that the registered host processes at once; 0 if unknown. Only
    /// together with `wants_work`.
    std::uint16_t slots = 0;
    /// Only together with `wants_work`.
    std::optional<host_directive> directive;
};

/// @brief What a host still has to do and how fast it is, as its relay process
/// has learned from packets. Constant in size.
struct host_work {
    /// Work left of the requests in progress or queued, as a time: how long
    /// all slots of the host are busy with it. In microseconds.
    std::uint32_t backlog_us = 0;
    /// Mean service time of a request at this host, without waiting, in
    /// microseconds; 0 before anything was measured.
    std::uint32_t service_us = 0;
    /// High quantile of the service time, in microseconds.
    std::uint32_t service_high_us = 0;
    /// Requests in a second over about the last seconds, in thousandths.
    std::uint32_t requests_milli_per_second = 0;
    /// Opening packets that the host process still delivers at once; unlimited
    /// if the host is not cold or has no limit.
    std::uint16_t opening_room = unlimited_room;

    static constexpr std::uint16_t unlimited_room = 0xffff;

    friend bool operator==(const host_work&, const host_work&) = default;
};

/// @brief Answer to a hello; also sent when `host` changes.
struct load_report {
    incarnation run;
    service_tag service;
    host_state host = host_state::alive;
    /// The process's flow table is complete, so the host owns no flow that is
    /// missing from it.
    bool knows_all_flows = false;
    /// Requests in progress or queued at the host.
    std::uint32_t outstanding = 0;
    /// Mean of `outstanding` over the last second, in thousandths.
    std::uint32_t busy_milli = 0;
    std::uint32_t flows = 0;
    /// Entries from which the process receives hellos.
    std::vector<machine_address> entries;
    /// Sent only to entries whose hello has `wants_work`.
    std::optional<host_work> work;
};

/// @brief A flow and the sequence numbers with which it was opened.
struct owned_flow {
    flow_key flow;
    std::uint32_t client_start = 0;
    std::uint32_t host_start = 0;
};

/// @brief Announces flows that the sender's host owns. Carries the current load
/// because hundreds of flows open between two reports after a power failure. A
/// flow that has just opened is named alone; another one alone is named twice.
struct owned_flows {
    std::uint32_t outstanding = 0;
    std::uint32_t total = 0;
    std::vector<owned_flow> flows;
};

/// @brief Sent by an entry to a host's relay process to find out whether the
/// host owns these flows.
struct flow_query {
    std::vector<flow_key> flows;
};

/// @brief Answer to a query, or to a packet sent by a search, for flows that
/// the host does not own. Flows that it owns are sent as owned_flows.
struct flow_denial {
    std::vector<flow_key> not_owned;
    /// Flows that may have opened before the process started. Only a packet
    /// delivered to the host shows whether it owns them.
    std::vector<flow_key> uncertain;
};

enum class return_reason : std::uint8_t {
    host_refused,
    host_dead,
    unknown_flow,
    wrong_service,
};

const char* to_string(return_reason it);

/// @brief Returns a packet that the host does not accept to its entry.
struct packet_returned {
    return_reason reason{};
    bytes datagram;
};

/// @brief A relay process whose host is no longer registered but may still
/// serve flows.
struct departed_host {
    machine_address machine;
    service_tag service;
};

/// @brief States that an entry reads the store for its data centre. The count
/// grows with each announcement of a run, so entries that pass it on cannot
/// make it look newer.
struct reader_announcement {
    machine_address reader;
    incarnation run;
    std::uint64_t count = 0;

    bool is_newer_than(const reader_announcement& other) const {
        return run != other.run ? run > other.run : count > other.count;
    }
};

/// @brief Sent between entries at a regular interval.
struct peer_hello {
    incarnation run;
    data_centre_id data_centre;
    revision as_of;
    std::uint64_t digest = 0;
    /// The sender reads the store, and the store answers it.
    bool reads_store = false;
    bool is_reply = false;
    std::vector<machine_address> entries;
    std::vector<departed_host> departed;
    /// The sender's own announcement, or the newest one that it knows of its
    /// data centre. Processes that predate this field send and accept only
    /// hellos without it; they drop others as an unknown type.
    std::optional<reader_announcement> reader;
    /// The sender has run long enough to know every process whose host is no
    /// longer registered. Sent only together with `reader`.
    bool knows_departed = false;
    /// Version of the configuration. Sent only in other eras than the first, in
    /// which a position does not imply it.
    std::uint64_t version = 0;
};

/// @brief Requests the directory of another entry.
struct directory_request {};

/// @brief Part of an encoded directory_view.
struct directory_part {
    revision as_of;
    std::uint64_t digest = 0;
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    bytes content;
};

/// @brief The contents of the sender's directory. Sent to the entry that reads
/// the store: once the sender follows it, and in answer to what it sends.
/// Earlier builds drop it.
struct directory_position {
    incarnation run;
    revision as_of;
    std::uint64_t digest = 0;
};

/// @brief Requests the parts of a directory that have not arrived. Earlier
/// builds drop it.
struct directory_part_request {
    revision as_of;
    std::uint64_t digest = 0;
    std::uint16_t count = 0;
    std::vector<std::uint16_t> missing;
};

/// @brief Requests a read of the store that starts after this message has
/// arrived; see read_barrier. Earlier builds drop it.
struct barrier_request {
    std::uint64_t id = 0;
};

/// @brief The position and contents of the sender's directory after that read.
struct barrier_reply {
    std::uint64_t id = 0;
    revision as_of;
    std::uint64_t digest = 0;
};

/// @brief An evacuated data centre and the position of the operator's request.
struct evacuation {
    data_centre_id data_centre;
    revision at;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

/// @brief What the sender knows of the operator's intent beside routes, in
/// full, as of one position. Sent by an entry that reads the store to those of
/// its data centre, and with a directory on request. Earlier builds drop it.
struct operator_intent {
    revision as_of;
    /// Of the configuration that `warmup_limits` are from.
    std::uint64_t version = 0;
    std::vector<evacuation> evacuations;
    /// Requests that ended, and where; empty until the store was restored. A
    /// table of a later era that lacks a request does not end it.
    std::vector<evacuation> ended;
    std::vector<warmup_limit> warmup_limits;
};

using message =
    std::variant<hello, load_report, owned_flows, flow_query, flow_denial,
                 packet_returned, peer_hello, directory_request, directory_part,
                 directory_delta, barrier_request, barrier_reply,
                 operator_intent, directory_position, directory_part_request>;

/// @brief Name of the message's type, for metrics.
const char* type_name(const message& it);

bytes encode(const message& it);

/// @brief Fails with step "decode_relay_message".
result<message> decode(byte_view data);

/// Maximum content of one part; fits an Ethernet frame with its headers.
inline constexpr std::size_t max_part_bytes = 1200;

/// @brief A view without routes can only be adopted by a process that has the
/// same routes.
bytes encode_view(const directory_view& it, bool with_routes = true);
/// @brief The era is the one of the message that carries the view.
result<directory_view> decode_view(byte_view data, store_era era);

/// Maximum number of flows in one owned_flows message; fits an Ethernet frame.
inline constexpr std::size_t max_flows_per_message = 60;

} // namespace arbutusport::relay
