// Writes and reads trace files.

#include <arbutusport/emulator/trace.hpp>

#include "trace_codec.hpp"

#include <arbutusport/base/hash.hpp>

#include <istream>
#include <ostream>
#include <stdexcept>
#include <streambuf>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

leaf::error_id read_error(const std::string& name, const std::string& reason) {
    return fail("read_trace", name, reason);
}

// Reads consecutive CBOR values and computes the digest of the bytes read.
class value_reader {
public:
    explicit value_reader(byte_view data) : remaining_(data) {}

    bool at_end() const { return remaining_.empty(); }
    std::uint64_t digest() const { return digest_; }

    /// Throws json::exception for a truncated or malformed value.
    json next() {
        // In non-strict mode the parser stops after the first value.
        view_buffer buffer(remaining_);
        std::istream in(&buffer);
        json out = json::from_cbor(in, false);
        const auto size = buffer.consumed();
        digest_ = hash64(remaining_.first(size), digest_);
        remaining_ = remaining_.subspan(size);
        return out;
    }

private:
    class view_buffer : public std::streambuf {
    public:
        explicit view_buffer(byte_view data) {
            // The stream only reads the get area.
            auto* start =
                const_cast<char*>(reinterpret_cast<const char*>(data.data()));
            setg(start, start, start + data.size());
        }
        std::size_t consumed() const {
            return static_cast<std::size_t>(gptr() - eback());
        }
    };

    byte_view remaining_;
    std::uint64_t digest_ = 0;
};

trace_event unpack_event(const json& it, time_point& last) {
    if (it.is_number()) {
        last += duration(it.get<std::int64_t>());
        return {last, tick_input{}, json::array()};
    }
    last += duration(it.at(0).get<std::int64_t>());
    return {last, unpack_input(it.at(1)), it.at(2)};
}

result<trace> read_values(const std::string& name, value_reader& in) {
    const json header = in.next();
    if (!header.is_object() ||
        header.value("format", "") != "arbutusport-trace")
        return read_error(name, "not a trace file");
    const auto version = header.at("version").get<std::uint32_t>();
    if (version != trace_header::current_version)
        return read_error(name,
                          "version " + std::to_string(version) + ", allowed: " +
                              std::to_string(trace_header::current_version));
    trace out;
    out.header = unpack_header(header);
    time_point last;
    while (!in.at_end()) {
        const std::uint64_t digest = in.digest();
        const json it = in.next();
        if (!it.is_object()) {
            out.events.push_back(unpack_event(it, last));
            continue;
        }
        if (it.at("events").get<std::uint64_t>() != out.events.size() ||
            it.at("xxh64").get<std::uint64_t>() != digest || !in.at_end())
            return read_error(name, "altered: the checksum does not match");
        return out;
    }
    return read_error(name, "truncated: the end is missing");
}

} // namespace

trace_writer::trace_writer(const trace_header& header, std::ostream& out)
    : out_(out) {
    write(pack(header));
}

void trace_writer::add(const node_input& input, const node_result& found,
                       time_point now) {
    // Most events are ticks without outputs; they are stored as the elapsed
    // time only.
    const json elapsed = (now - last_).count();
    if (std::holds_alternative<tick_input>(input) && found.actions.empty())
        write(elapsed);
    else
        write(json::array({elapsed, pack(input), describe(found)}));
    last_ = now;
    ++events_;
}

void trace_writer::finish() {
    write({{"events", events_}, {"xxh64", digest_}});
    out_.flush();
}

void trace_writer::write(const json& it) {
    const bytes data = json::to_cbor(it);
    digest_ = hash64(data, digest_);
    out_.write(reinterpret_cast<const char*>(data.data()),
               static_cast<std::streamsize>(data.size()));
}

result<trace> read_trace(const std::string& name, byte_view data) {
    value_reader in(data);
    try {
        return read_values(name, in);
    } catch (const json::exception& it) {
        return read_error(name,
                          std::string("truncated or altered: ") + it.what());
    } catch (const std::invalid_argument& it) {
        return read_error(name, std::string("altered: ") + it.what());
    }
}

} // namespace arbutusport::emulator
