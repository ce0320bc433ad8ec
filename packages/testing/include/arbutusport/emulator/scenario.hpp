// The scenario language: a text file with one statement a line, run in
// virtual time against the decision library. docs/scenarios.md describes it.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::emulator {

enum class step_kind : std::uint8_t {
    kill,     // a process or an upstream ends without notice
    restart,  // a fresh process with an empty memory takes its place
    freeze,   // a process stops for a time; its input waits
    cut,      // two groups exchange no packets for a time
    drain,    // the record says draining
    activate, // the record says active
    remove,   // the record says out
    reweight, // the record says another weight
    publish,  // a change without effect on hosts: a new generation
    corrupt,  // a malformed record is published
    platform, // the configuration service: up, down or stale
    list,     // the platform's list says an instance leaves
    shed,     // an upstream refuses work for a time
    slow,     // an upstream takes longer for a time
    rebind,   // clients continue under new source ports
    key,      // a packet key is accepted, active or removed
    forge,    // forged packets are sent to every process
};

struct step {
    time_point at;
    step_kind kind = step_kind::publish;
    /// Process, host or client names; a trailing '*' matches any rest.
    std::vector<std::string> subjects;
    /// The other side of a cut, a platform mode, a weight or a key's state.
    std::vector<std::string> arguments;
    /// Zero if the effect lasts.
    duration lasting{};
    std::size_t line = 0;
};

enum class comparison : std::uint8_t { equal, at_most, at_least };

struct expectation {
    std::string figure;
    comparison relation = comparison::equal;
    double bound = 0;
    std::size_t line = 0;
};

struct load_options {
    std::string service;
    std::uint32_t clients = 0;
    /// Time between two requests of one client.
    duration interval = std::chrono::milliseconds(500);
    /// Percentages; the rest are idempotent reads.
    std::uint32_t contributions = 50;
    std::uint32_t observers = 0;
};

struct link_options {
    duration within_data_centre = std::chrono::microseconds(200);
    duration between_data_centres = std::chrono::milliseconds(5);
    duration to_clients = std::chrono::milliseconds(3);
    duration jitter = std::chrono::milliseconds(1);
    double loss = 0;
    double duplicates = 0;
};

struct scenario {
    std::string name;
    std::vector<std::string> proves;
    std::uint64_t seed = 1;
    /// Directory below examples/records.
    std::string records = "consulta-sul";
    link_options links;
    std::vector<load_options> loads;
    std::vector<step> steps;
    /// Overrides the records' drain time-outs if above zero.
    duration drain_timeout{};
    /// Load stops here; the run goes on for the longest client time-out.
    duration length = std::chrono::seconds(20);
    std::vector<expectation> expectations;
};

/// @brief Parses a scenario. Fails with step "parse_scenario", peer
/// "name:line" and what was found and is allowed.
result<scenario> parse_scenario(std::string_view name, std::string_view text);

/// @brief True if `pattern` is `name` or ends in '*' and its front matches.
bool matches(std::string_view pattern, std::string_view name);

} // namespace arbutusport::emulator
