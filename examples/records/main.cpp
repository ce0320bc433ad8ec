// Builds a configuration from a directory of records and prints the effect of
// draining one host.
//
//   example_records examples/records/consulta-sul

#include <arbutusport/ctl/record_directory.hpp>
#include <arbutusport/records/diff.hpp>
#include <arbutusport/records/parse.hpp>

#include <iostream>

namespace {

using namespace arbutusport;

result<int> run(const std::string& path) {
    BOOST_LEAF_AUTO(directory, ctl::read_record_directory(path));
    BOOST_LEAF_AUTO(before,
                    records::build_snapshot(directory.gen, directory.set));

    // The new configuration differs only in the state of one host.
    records::snapshot after = *before;
    after.services.front().hosts.front().state = records::host_state::draining;
    for (const records::change& change : records::diff(*before, after))
        std::cout << change.service << ": " << records::to_string(change.kind)
                  << ' ' << change.subject << ": " << change.effect << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: example_records DIRECTORY\n";
        return 2;
    }
    return handle_failure([&] { return run(argv[1]); },
                          [](const failure& it) {
                              std::cerr << it.peer << ": " << it.reason << '\n';
                              return 1;
                          });
}
