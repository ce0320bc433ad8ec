// Encoding of the directory and of the fields that it shares with other
// messages.
#pragma once

#include "byte_codec.hpp"

#include <arbutusport/relay/messages.hpp>

#include <vector>

namespace arbutusport::relay {

inline constexpr std::size_t endpoint_bytes = 6;
// A host without the era of its position.
inline constexpr std::size_t host_bytes = 59;

void put(byte_writer& out, const endpoint& it);
endpoint take_endpoint(byte_reader& in);
/// @brief With the era, whichever it is.
void put(byte_writer& out, const revision& it);
revision take_revision(byte_reader& in);
void put_duration(byte_writer& out, duration it);
duration take_duration(byte_reader& in);
void put_count(byte_writer& out, std::size_t n);
void put_flag(byte_writer& out, bool it);
bool take_flag(byte_reader& in);

/// @brief Whether messages with this position state its era.
inline bool states_era(revision it) {
    return it.era() != first_era;
}

/// @brief `era` is the one of the message; if it is not the first, each host
/// states its own, since hosts that a restored store has not confirmed yet keep
/// positions of earlier eras.
void write_hosts(byte_writer& out, const std::vector<directory_view::host>& it,
                 store_era era);
std::vector<directory_view::host> read_hosts(byte_reader& in, store_era era);

/// @brief The change without its type and era; with the change of routes if
/// the recipient has to answer.
void write_delta(byte_writer& out, const directory_delta& it);
directory_delta read_delta(byte_reader& in, store_era era, bool wants_position);

leaf::error_id reject(const char* reason);

} // namespace arbutusport::relay
