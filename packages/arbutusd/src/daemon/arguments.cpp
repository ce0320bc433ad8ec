// Parses the command line with Boost.Program_options.

#include <arbutusport/daemon/arguments.hpp>

#include <boost/program_options.hpp>

#include <ostream>

namespace arbutusport::daemon {

namespace {

namespace po = boost::program_options;

constexpr const char* exit_code_help = R"(
Exit codes:
  0  graceful shutdown on SIGTERM or SIGINT, or --check found no error
  1  an endpoint could not be opened, or a second signal aborted the shutdown
  2  the command line or the settings file is invalid; nothing was started

Example:
  arbutusd --settings examples/settings/host.ini --check
)";

} // namespace

arguments parse_arguments(int argc, const char* const* argv, std::ostream& out,
                          std::ostream& errors) {
    arguments it;
    po::options_description options("arbutusd --settings FILE [--check]");
    options.add_options()("settings", po::value(&it.settings_path),
                          "the settings file of this process")(
        "check", po::bool_switch(&it.check_only),
        "check the settings file and exit")("help", "show this text")(
        "version", "show the version");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional({})
                      .run(),
                  values);
        po::notify(values);
    } catch (const po::error& error) {
        errors << "arbutusd: " << error.what() << '\n';
        it.exit_code = exit_refused;
        return it;
    }
    if (values.contains("help")) {
        out << options << exit_code_help;
        it.exit_code = exit_ok;
    } else if (values.contains("version")) {
        out << "arbutusd " << ARBUTUSPORT_VERSION << '\n';
        it.exit_code = exit_ok;
    } else if (it.settings_path.empty()) {
        errors << "arbutusd: --settings is required; see --help\n";
        it.exit_code = exit_refused;
    }
    return it;
}

} // namespace arbutusport::daemon
