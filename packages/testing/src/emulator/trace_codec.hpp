// CBOR values of a trace file. Each unpack function throws
// nlohmann::json::exception or std::invalid_argument for a malformed value.
#pragma once

#include <arbutusport/emulator/trace.hpp>

namespace arbutusport::emulator {

nlohmann::json pack(const trace_header& it);
trace_header unpack_header(const nlohmann::json& it);

nlohmann::json pack(const node_input& it);
node_input unpack_input(const nlohmann::json& it);

} // namespace arbutusport::emulator
