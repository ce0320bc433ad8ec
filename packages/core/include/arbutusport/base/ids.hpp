// Identifiers shared by all layers.
#pragma once

#include <arbutusport/base/strong_value.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusport {

/// @brief Identifies an entry or host process: xxh64 of its record name.
using process_id = strong_value<struct process_id_tag, std::uint64_t>;

/// @brief Identifies a service: xxh64 of its record name.
using service_id = strong_value<struct service_id_tag, std::uint64_t>;

/// @brief Identifies one run of a process: start time in ms shifted left by
/// 16, plus 16 random bits. A greater value supersedes a smaller one.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

/// @brief Identifies a session within one host incarnation.
using session_id = strong_value<struct session_id_tag, std::uint64_t>;

/// @brief A slot of a service's routing table, 0 to slot_count - 1.
using slot_index = strong_value<struct slot_index_tag, std::uint16_t>;

/// @brief Identifies a message authentication key.
using key_id = strong_value<struct key_id_tag, std::uint8_t>;

/// @brief Wall clock time of the machine that recorded it. Clocks differ
/// between machines and may jump, so no decision depends on it alone.
using unix_milliseconds =
    strong_value<struct unix_milliseconds_tag, std::uint64_t>;

/// @brief Version of the configuration. A greater value is newer.
struct generation {
    std::uint32_t epoch = 0;
    std::uint64_t revision = 0;

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const generation&, const generation&) = default;
};

/// @brief Formats a generation as "epoch.revision".
std::string to_string(const generation& it);

process_id process_id_of(std::string_view name);
service_id service_id_of(std::string_view name);

} // namespace arbutusport
