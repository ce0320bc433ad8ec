// Records the inputs and outputs of one process to a file and reads them
// back. docs/replay.md describes the use.
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

/// @brief What a fresh node object is made from.
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
    /// The form that is compared: one array for each output.
    nlohmann::json outputs;
};

struct trace {
    trace_header header;
    std::vector<trace_event> events;
};

/// @brief The outputs as written to a file; a sync reply comes last.
nlohmann::json describe(const node_result& it);
/// @brief "tick", "packet" and so on.
std::string name_of(const node_input& it);

class trace_writer {
public:
    /// @brief Writes the header. `out` outlives the writer.
    trace_writer(const trace_header& header, std::ostream& out);

    void add(const node_input& input, const node_result& found, time_point now);
    /// @brief Writes the end; without it the file counts as truncated.
    void finish();

private:
    void write(const nlohmann::json& it);

    std::ostream& out_;
    std::uint64_t events_ = 0;
    std::uint64_t digest_ = 0;
    time_point last_;
};

/// @brief Fails with step "read_trace" and peer `name` if the file is
/// truncated, altered, of a newer version or no trace.
result<trace> read_trace(const std::string& name, byte_view data);

} // namespace arbutusport::emulator
