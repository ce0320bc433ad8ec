// Texts that an emulated upstream serves, with versions and ETags.
#pragma once

#include <arbutusport/base/bytes.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace arbutusport::emulator {

struct stored_text {
    /// First line: text=, version= and checksum= of the rest.
    std::string content;
    bytes etag;
};

/// @brief Generates content from name and version only, so that all upstreams
/// of a service serve the same text.
class text_store {
public:
    text_store(std::size_t large_size, std::size_t small_size)
        : large_size_(large_size), small_size_(small_size) {}

    const stored_text& find(const std::string& name);
    /// @brief Changes to the next version, with new content and a new ETag.
    void change(const std::string& name);

private:
    const std::size_t large_size_;
    const std::size_t small_size_;
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::string, stored_text> texts_;
};

} // namespace arbutusport::emulator
