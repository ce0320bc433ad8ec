// Merges history files and prints every violated invariant.
//
// Example: arbutus_check client.jsonl participa-1.jsonl

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/history_file.hpp>

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace arbutusport::emulator;

history merge(const std::vector<std::string>& files) {
    history all;
    for (const std::string& file : files) {
        const history part = load_history(file);
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

int report(const history& all) {
    const auto found = check(all);
    for (const violation& it : found)
        std::cout << "violation=" << to_string(it.kind)
                  << " request=" << it.request << " reason=\"" << it.reason
                  << "\"\n";
    std::cout << "events=" << all.size() << " violations=" << found.size()
              << '\n';
    return found.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::string> files;
    po::options_description all("arbutus_check file...");
    all.add_options()("help", "show this text")(
        "file", po::value(&files)->required(), "history as JSON lines");
    po::positional_options_description positional;
    positional.add("file", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv)
                      .options(all)
                      .positional(positional)
                      .run(),
                  values);
        if (values.contains("help")) {
            std::cout << all;
            return 0;
        }
        po::notify(values);
        return report(merge(files));
    } catch (const std::exception& it) {
        std::cerr << "arbutus_check: " << it.what() << '\n';
        return 2;
    }
}
