// Sequential writing and reading of big-endian fields.
#pragma once

#include <arbutusport/base/bytes.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>

namespace arbutusport::relay {

class byte_writer {
public:
    template <std::unsigned_integral Value>
    void put(Value value) {
        const auto start = out_.size();
        out_.resize(start + sizeof value);
        boost::endian::endian_store<Value, sizeof(Value),
                                    boost::endian::order::big>(
            out_.data() + start, value);
    }

    void put_bytes(byte_view data) {
        out_.insert(out_.end(), data.begin(), data.end());
    }

    bytes take() { return std::move(out_); }

private:
    bytes out_;
};

/// @brief A read past the end yields 0 and makes ok() false permanently.
class byte_reader {
public:
    explicit byte_reader(byte_view data) : rest_(data) {}

    template <std::unsigned_integral Value>
    Value take() {
        if (rest_.size() < sizeof(Value)) {
            ok_ = false;
            rest_ = {};
            return 0;
        }
        const auto value =
            boost::endian::endian_load<Value, sizeof(Value),
                                       boost::endian::order::big>(rest_.data());
        rest_ = rest_.subspan(sizeof(Value));
        return value;
    }

    bytes take_rest() {
        bytes out(rest_.begin(), rest_.end());
        rest_ = {};
        return out;
    }

    /// @brief Reads a count of items of at least `item_bytes` each. Yields 0
    /// and makes ok() false if the remaining bytes are too few.
    std::size_t take_count(std::size_t item_bytes) {
        const std::size_t n = take<std::uint16_t>();
        if (n * item_bytes > rest_.size()) {
            ok_ = false;
            return 0;
        }
        return n;
    }

    /// @brief Marks the data as invalid.
    void reject() { ok_ = false; }
    bool ok() const { return ok_; }
    /// @brief True if all data was read and none was missing.
    bool complete() const { return ok_ && rest_.empty(); }

private:
    byte_view rest_;
    bool ok_ = true;
};

} // namespace arbutusport::relay
