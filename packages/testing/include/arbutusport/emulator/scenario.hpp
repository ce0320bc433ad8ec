// Scenario files: one statement for each line, run in virtual time against the
// decision library. docs/scenarios.md describes the format.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::emulator {

enum class step_kind : std::uint8_t {
    kill,     // ends a process or an upstream without notice
    restart,  // replaces a process by a new one without state
    freeze,   // suspends a process; its input is queued
    cut,      // drops all packets between two groups for a time
    drain,    // sets the state in the record to draining
    activate, // sets the state in the record to active
    remove,   // sets the state in the record to out
    reweight, // changes the weight in the record
    publish,  // publishes a generation that changes no host
    corrupt,  // publishes a malformed record
    platform, // sets the configuration service up, down or stale
    list,     // marks an instance as leaving in the platform's list
    shed,     // makes an upstream reject work for a time
    slow,     // makes an upstream slower for a time
    rebind,   // moves clients to new source ports
    key,      // accepts, activates or removes a packet key
    forge,    // sends forged packets to every process
};

struct step {
    time_point at;
    step_kind kind = step_kind::publish;
    /// Process, host or client names; a trailing '*' matches any suffix.
    std::vector<std::string> subjects;
    /// The other side of a cut, a platform mode, a weight or a key's state.
    std::vector<std::string> arguments;
    /// Zero for a permanent effect.
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
    /// Percentages of requests; the others are idempotent reads.
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
    /// Overrides the drain time-outs of the records if above zero.
    duration drain_timeout{};
    /// Load stops after this time; the run continues for the longest client
    /// time-out.
    duration length = std::chrono::seconds(20);
    std::vector<expectation> expectations;
};

/// @brief Parses a scenario. Fails with step "parse_scenario", peer
/// "name:line", and a reason that names the faulty text and the allowed form.
result<scenario> parse_scenario(std::string_view name, std::string_view text);

/// @brief True if `pattern` equals `name`, or ends in '*' and the text before
/// it is a prefix of `name`.
bool matches(std::string_view pattern, std::string_view name);

} // namespace arbutusport::emulator
