// Builds a configuration from a directory of records and prints what a
// change of it would do.
//
//   example_records examples/records/consulta-sul

#include <arbutusport/ctl/record_directory.hpp>
#include <arbutusport/records/diff.hpp>
#include <arbutusport/records/parse.hpp>

#include <iostream>

namespace {

using namespace arbutusport;

result<int> run(const std::string& path) {
    BOOST_LEAF_AUTO(read, ctl::read_record_directory(path));
    BOOST_LEAF_AUTO(before, records::build_snapshot(read.gen, read.set));

    // A change is a copy of the configuration with one host draining.
    records::snapshot after = *before;
    after.services.front().hosts.front().state = records::host_state::draining;
    for (const records::change& it : records::diff(*before, after))
        std::cout << it.service << ": " << records::to_string(it.kind) << ' '
                  << it.subject << ": " << it.effect << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "example_records DIRECTORY\n";
        return 2;
    }
    return handle_failure([&] { return run(argv[1]); },
                          [](const failure& it) {
                              std::cerr << it.peer << ": " << it.reason << '\n';
                              return 1;
                          });
}
