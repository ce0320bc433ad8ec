// Generates texts on first use.

#include <arbutusport/emulator/text_store.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/payload.hpp>

#include <boost/endian/conversion.hpp>

namespace arbutusport::emulator {

namespace {

stored_text make_text(const std::string& name, std::uint64_t version,
                      std::size_t size) {
    payload it;
    it.body = make_body(hash64(name, version), size);
    it.fields = {{"text", name},
                 {"version", std::to_string(version)},
                 {"checksum", checksum_of(it.body)}};
    stored_text out{to_text(it), bytes(sizeof(std::uint64_t))};
    boost::endian::store_big_u64(out.etag.data(), hash64(out.content));
    return out;
}

} // namespace

const stored_text& text_store::find(const std::string& name) {
    const auto it = texts_.find(name);
    if (it != texts_.end())
        return it->second;
    const std::size_t size = name == "large" ? large_size_ : small_size_;
    return texts_[name] = make_text(name, versions_[name], size);
}

void text_store::change(const std::string& name) {
    ++versions_[name];
    texts_.erase(name);
}

} // namespace arbutusport::emulator
