// Records the inputs and outputs of one process to a file and reads such a
// file. docs/replay.md describes the use.
//
// A file is a sequence of CBOR values: a header, one value for each input
// with its outputs, and an end value with their number and a checksum.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/emulator/node_input.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief Options to construct the node object of the recorded process.
struct trace_header {
    static constexpr std::uint32_t current_version = 1;

    std::string process;
    /// Exactly one is set. Guards, hooks and router limits are not recorded:
    /// a replay uses the defaults.
    std::optional<node::entry_node_options> entry;
    std::optional<node::host_node_options> host;
};

struct trace_event {
    time_point at;
    node_input input;
    /// Compared during a replay: one array for each output.
    nlohmann::json outputs;
};

struct trace {
    trace_header header;
    std::vector<trace_event> events;
};

/// @brief Serialises the outputs for a file; a sync reply comes last.
nlohmann::json describe(const node_result& it);
/// @brief Kind of the input, such as "tick" or "packet".
std::string name_of(const node_input& it);

class trace_writer {
public:
    /// @brief Writes the header. `out` must outlive the writer.
    trace_writer(const trace_header& header, std::ostream& out);

    void add(const node_input& input, const node_result& found, time_point now);
    /// @brief Writes the end value; a file without it is rejected as truncated.
    void finish();

private:
    void write(const nlohmann::json& it);

    std::ostream& out_;
    std::uint64_t events_ = 0;
    std::uint64_t digest_ = 0;
    time_point last_;
};

/// @brief Fails with step "read_trace" and peer `name` if the file is
/// truncated, altered, of another version or not a trace file.
result<trace> read_trace(const std::string& name, byte_view data);

} // namespace arbutusport::emulator
