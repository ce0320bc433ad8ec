// arbutusd: one arbutusport process. Its settings select the role.

#include <arbutusport/daemon/arguments.hpp>

int main(int argc, char** argv) {
    return arbutusport::daemon::run_daemon(argc, argv);
}
