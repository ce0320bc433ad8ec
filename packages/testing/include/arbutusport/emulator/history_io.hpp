// Histories as JSON lines, one event a line.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/emulator/history.hpp>

#include <iosfwd>
#include <string>

namespace arbutusport::emulator {

/// @brief One line without its end. Times are in µs.
std::string to_json(const event& it);

void write_history(const history& events, std::ostream& out);

/// @brief Reads lines up to the end of `in`; empty lines are ignored. Fails
/// with step "read_history", the line number as peer, and the reason.
result<history> read_history(std::istream& in);

} // namespace arbutusport::emulator
