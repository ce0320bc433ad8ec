// Reads and writes history files in the JSON Lines format.

#include <arbutusport/emulator/history_file.hpp>

#include <arbutusport/emulator/history_io.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace arbutusport::emulator {

void save_history(const history& events, const std::string& path) {
    const std::string temporary = path + ".partial";
    {
        std::ofstream out(temporary);
        write_history(events, out);
        if (!out.flush())
            throw std::runtime_error("history " + temporary +
                                     " cannot be written");
    }
    std::filesystem::rename(temporary, path);
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
