// Byte sequences.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace arbutusport {

using bytes = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

} // namespace arbutusport
