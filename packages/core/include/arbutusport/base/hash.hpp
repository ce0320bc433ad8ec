// Hashes that every process computes alike (xxh64).
#pragma once

#include <arbutusport/base/bytes.hpp>

#include <cstdint>
#include <string_view>

namespace arbutusport {

std::uint64_t hash64(byte_view data, std::uint64_t seed = 0);
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @brief Mixes two values into one; not commutative.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

} // namespace arbutusport
