// Histories in files.
#pragma once

#include <arbutusport/emulator/history.hpp>

#include <string>

namespace arbutusport::emulator {

/// @brief Replaces `path` at once, so that a reader never sees half of it.
/// Throws std::runtime_error if it cannot be written.
void save_history(const history& events, const std::string& path);

/// @brief Throws std::runtime_error if it is unreadable or malformed.
history load_history(const std::string& path);

} // namespace arbutusport::emulator
