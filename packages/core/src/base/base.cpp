// Implements identifiers, endpoints and hashes.

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/hash.hpp>
#include <arbutusport/base/ids.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>

namespace arbutusport {

namespace {

// Removes a decimal number up to `limit` from the front of `text`.
std::optional<std::uint32_t> consume_number(std::string_view& text,
                                            std::uint32_t limit) {
    std::uint32_t value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || value > limit)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool consume_character(std::string_view& text, char expected) {
    if (text.empty() || text.front() != expected)
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

std::uint64_t hash64(byte_view data, std::uint64_t seed) {
    return XXH64(data.data(), data.size(), seed);
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right) {
    const std::array<std::uint64_t, 2> data{left, right};
    return XXH64(data.data(), sizeof data, 0);
}

std::string to_string(const generation& it) {
    return std::to_string(it.epoch) + "." + std::to_string(it.revision);
}

process_id process_id_of(std::string_view name) {
    return process_id(hash64(name));
}

service_id service_id_of(std::string_view name) {
    return service_id(hash64(name));
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    endpoint it;
    for (int i = 0; i < 4; ++i) {
        if (i > 0 && !consume_character(text, '.'))
            return std::nullopt;
        const auto n = consume_number(text, 255);
        if (!n)
            return std::nullopt;
        it.address = it.address << 8 | *n;
    }
    if (!consume_character(text, ':'))
        return std::nullopt;
    const auto port = consume_number(text, 65535);
    if (!port || *port == 0 || !text.empty())
        return std::nullopt;
    it.port = static_cast<std::uint16_t>(*port);
    return it;
}

std::string to_string(const endpoint& it) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(it.address >> shift & 255);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(it.port);
}

std::string to_string(const flow_key& it) {
    return to_string(it.client) + ">" + to_string(it.service);
}

std::uint64_t hash_of(const flow_key& it) {
    const std::array<std::uint64_t, 2> data{
        std::uint64_t{it.client.address} << 16 | it.client.port,
        std::uint64_t{it.service.address} << 16 | it.service.port};
    return XXH64(data.data(), sizeof data, 0);
}

} // namespace arbutusport
