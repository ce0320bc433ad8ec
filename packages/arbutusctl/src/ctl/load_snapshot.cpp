// Builds a snapshot from a directory of records.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/load_snapshot.hpp>
#include <arbutusport/ctl/record_directory.hpp>
#include <arbutusport/records/parse.hpp>

#include <ostream>
#include <utility>

namespace arbutusport::ctl {

result<records::snapshot_ptr> load_snapshot(const std::string& path) {
    BOOST_LEAF_AUTO(directory, read_record_directory(path));
    return records::build_snapshot(directory.gen, std::move(directory.set));
}

int print_failure(const failure& it, std::ostream& out) {
    out << "error: " << it.peer << ": " << it.reason << '\n';
    return exit_findings;
}

} // namespace arbutusport::ctl
