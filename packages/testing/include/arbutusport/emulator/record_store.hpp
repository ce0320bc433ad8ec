// The platform's configuration service in virtual time.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/records.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace arbutusport::emulator {

enum class store_mode : std::uint8_t { up, down, stale };

/// @brief Holds published records; every change raises the revision. A stale
/// store answers from the state at which it became stale.
class record_store {
public:
    /// @brief Reads <kind>.<name>.json files. Throws std::runtime_error if
    /// there is none.
    explicit record_store(const std::string& directory);

    /// @brief Adds or replaces a record.
    void publish(const std::string& key, const std::string& json);
    /// @brief The newest text of a record. Throws std::out_of_range.
    const std::string& text(const std::string& key) const;
    std::vector<std::string> keys() const;
    /// @brief Changes one host's field in its service record; false if no
    /// service has that host.
    bool edit_host(const std::string& host, const std::string& field,
                   const std::string& json_value);
    /// @brief Publishes the key as "accepted", "active" (the others become
    /// accepted) or "removed"; adds a key that is not there.
    void set_key(std::uint64_t id, const std::string& state);
    /// @brief A new revision without effect on hosts.
    void touch();

    void set_mode(store_mode mode, const std::string& data_centre);
    store_mode mode(const std::string& data_centre) const;

    config::head head(const std::string& data_centre) const;
    std::vector<records::raw_record> read(const std::vector<std::string>& keys,
                                          const std::string& data_centre) const;

private:
    struct state {
        generation gen;
        std::map<std::string, records::raw_record> records;
    };

    const state& seen_by(const std::string& data_centre) const;

    state current_;
    std::map<std::string, store_mode> modes_;
    // State at the moment at which a data centre's view became stale.
    std::map<std::string, state> stale_;
};

} // namespace arbutusport::emulator
