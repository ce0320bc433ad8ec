// Encodes histories in the JSON Lines format, one event per line.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/emulator/history.hpp>

#include <iosfwd>
#include <string>

namespace arbutusport::emulator {

/// @brief One line without the line break. Times are in µs.
std::string to_json(const event& it);

void write_history(const history& events, std::ostream& out);

/// @brief Reads lines until the end of `in` and ignores empty ones. A failure
/// has the step "read_history", the line number as peer, and the reason.
result<history> read_history(std::istream& in);

} // namespace arbutusport::emulator
