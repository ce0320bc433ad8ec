// Format: "<name>\n<padding>", then the xxh64 of both as 16 hex digits.

#include <arbutusport/emulator/answer_body.hpp>

#include <arbutusport/base/hash.hpp>

#include <cstdio>

namespace arbutusport::emulator {

namespace {

constexpr std::string_view name_prefix = "r=";
constexpr std::size_t checksum_digits = 16;

std::string checksum(std::string_view text) {
    char buf[checksum_digits + 1];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(hash64(text)));
    return buf;
}

} // namespace

std::string request_name(const requests::coap_message& request) {
    const auto* query = request.find(requests::options::uri_query);
    if (!query)
        return {};
    const std::string text(query->value.begin(), query->value.end());
    return text.starts_with(name_prefix) ? text.substr(name_prefix.size())
                                         : std::string();
}

void set_request_name(requests::coap_message& request, std::string_view name) {
    request.add(
        requests::options::uri_query,
        requests::to_bytes(std::string(name_prefix) + std::string(name)));
}

std::string make_answer_body(std::string_view name, std::uint64_t version,
                             std::size_t size) {
    std::string text(name);
    text += '\n';
    while (text.size() + checksum_digits < size)
        text += std::to_string(version) + '.';
    return text + checksum(text);
}

answer_body read_answer_body(std::string_view text) {
    if (text.size() < checksum_digits)
        return {};
    const auto content = text.substr(0, text.size() - checksum_digits);
    return {std::string(content.substr(0, content.find('\n'))),
            text.substr(content.size()) == checksum(content)};
}

} // namespace arbutusport::emulator
