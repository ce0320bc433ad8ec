// Simulated configuration service of the platform in virtual time.
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

/// @brief Holds published records; every change increments the revision. A
/// stale store answers with the state at the time it became stale.
class record_store {
public:
    /// @brief Reads <kind>.<name>.json files. Throws std::runtime_error if
    /// the directory holds none.
    explicit record_store(const std::string& directory);

    /// @brief Adds or replaces a record.
    void publish(const std::string& key, const std::string& json);
    /// @brief The newest text of a record. Throws std::out_of_range for an
    /// unknown key.
    const std::string& text(const std::string& key) const;
    std::vector<std::string> keys() const;
    /// @brief Changes one host's field in its service record; false if no
    /// service has that host.
    bool edit_host(const std::string& host, const std::string& field,
                   const std::string& json_value);
    /// @brief Publishes the key as "accepted", "active" (all others become
    /// accepted) or "removed"; adds an unknown key.
    void set_key(std::uint64_t id, const std::string& state);
    /// @brief Publishes a new revision that changes no host.
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

    const state& state_for(const std::string& data_centre) const;

    state current_;
    std::map<std::string, store_mode> modes_;
    // State at the time at which a data centre's view became stale.
    std::map<std::string, state> stale_states_;
};

} // namespace arbutusport::emulator
