// Loads a validated snapshot from a directory of records.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <iosfwd>
#include <string>

namespace arbutusport::ctl {

result<records::snapshot_ptr> load_snapshot(const std::string& path);

/// @brief Writes "error: <peer>: <reason>" and returns exit_findings.
int print_failure(const failure& it, std::ostream& out);

} // namespace arbutusport::ctl
