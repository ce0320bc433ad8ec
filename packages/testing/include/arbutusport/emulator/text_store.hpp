// The texts that an upstream serves: large bodies with an ETag.
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

/// @brief Content depends on name and version alone, so that all upstreams
/// of a service serve the same text.
class text_store {
public:
    text_store(std::size_t large, std::size_t small)
        : large_(large), small_(small) {}

    const stored_text& find(const std::string& name);
    /// @brief The next version: new content, new ETag.
    void change(const std::string& name);

private:
    const std::size_t large_;
    const std::size_t small_;
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::string, stored_text> texts_;
};

} // namespace arbutusport::emulator
