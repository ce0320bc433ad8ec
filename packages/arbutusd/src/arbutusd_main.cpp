// arbutusd: one process of arbutusport, in the role that its settings name.

#include <arbutusport/daemon/arguments.hpp>

int main(int argc, char** argv) {
    return arbutusport::daemon::run_daemon(argc, argv);
}
