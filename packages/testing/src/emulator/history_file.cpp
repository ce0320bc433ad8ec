// Histories in files, as JSON lines.

#include <arbutusport/emulator/history_file.hpp>

#include <arbutusport/emulator/history_io.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace arbutusport::emulator {

void save_history(const history& events, const std::string& path) {
    const std::string partial = path + ".partial";
    {
        std::ofstream out(partial);
        write_history(events, out);
        if (!out.flush())
            throw std::runtime_error("history " + partial +
                                     " cannot be written");
    }
    std::filesystem::rename(partial, path);
}

history load_history(const std::string& path) {
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("history " + path + " is unreadable");
    return handle_failure([&] { return read_history(in); },
                          [&](const failure& it) -> history {
                              throw std::runtime_error("history " + path + ":" +
                                                       it.peer + ": " +
                                                       it.reason);
                          });
}

} // namespace arbutusport::emulator
