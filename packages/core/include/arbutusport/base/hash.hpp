// Hash functions (xxh64) with equal results in every process.
#pragma once

#include <arbutusport/base/bytes.hpp>

#include <cstdint>
#include <string_view>

namespace arbutusport {

std::uint64_t hash64(byte_view data, std::uint64_t seed = 0);
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @brief Combines two hash values. Not commutative.
std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right);

} // namespace arbutusport
