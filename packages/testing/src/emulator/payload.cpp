// Parses and writes payloads, and computes checksums of bodies.

#include <arbutusport/emulator/payload.hpp>

#include <arbutusport/base/hash.hpp>

#include <random>
#include <sstream>

namespace arbutusport::emulator {

std::string to_text(const payload& it) {
    std::string text;
    for (const auto& [key, value] : it.fields) {
        if (!text.empty())
            text += ' ';
        text += key;
        text += '=';
        text += value;
    }
    return text + '\n' + it.body;
}

payload parse_payload(std::string_view text) {
    const auto end = text.find('\n');
    payload it;
    std::istringstream pairs{std::string(text.substr(0, end))};
    for (std::string pair; pairs >> pair;) {
        const auto equal = pair.find('=');
        if (equal != std::string::npos)
            it.fields[pair.substr(0, equal)] = pair.substr(equal + 1);
    }
    if (end != std::string_view::npos)
        it.body = text.substr(end + 1);
    return it;
}

std::string checksum_of(std::string_view body) {
    std::ostringstream out;
    out << std::hex;
    out.fill('0');
    out.width(16);
    out << hash64(body);
    return out.str();
}

std::string field(const payload_fields& fields, const std::string& name) {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::string make_body(std::uint64_t seed, std::size_t size) {
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> letter('a', 'z');
    std::string text(size, ' ');
    for (char& it : text)
        it = static_cast<char>(letter(random));
    return text;
}

} // namespace arbutusport::emulator
