// Saves histories to files and loads them.
#pragma once

#include <arbutusport/emulator/history.hpp>

#include <string>

namespace arbutusport::emulator {

/// @brief Replaces `path` atomically, so that readers never see a partial
/// file. Throws std::runtime_error if the file cannot be written.
void save_history(const history& events, const std::string& path);

/// @brief Throws std::runtime_error if the file is unreadable or malformed.
history load_history(const std::string& path);

} // namespace arbutusport::emulator
