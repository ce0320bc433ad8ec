// Published records and the view of each data centre.

#include <arbutusport/emulator/record_store.hpp>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

std::uint32_t epoch_of(const std::string& fleet_record) {
    const json it = json::parse(fleet_record, nullptr, false);
    return it.is_object() ? it.value("epoch", 0U) : 0U;
}

} // namespace

record_store::record_store(const std::string& directory) {
    for (const auto& it : std::filesystem::directory_iterator(directory)) {
        std::string key = it.path().stem().string();
        key.replace(key.find('.'), 1, "/");
        std::ifstream in(it.path());
        publish(key, {std::istreambuf_iterator<char>(in), {}});
    }
    if (current_.records.empty())
        throw std::runtime_error("no record in " + directory);
}

void record_store::publish(const std::string& key, const std::string& json) {
    ++current_.gen.revision;
    current_.records[key] = {key, json, current_.gen.revision};
    if (key.starts_with("fleet/"))
        current_.gen.epoch = epoch_of(json);
}

const std::string& record_store::text(const std::string& key) const {
    return current_.records.at(key).json;
}

std::vector<std::string> record_store::keys() const {
    std::vector<std::string> out;
    for (const auto& [key, unused] : current_.records)
        out.push_back(key);
    return out;
}

bool record_store::edit_host(const std::string& host, const std::string& field,
                             const std::string& json_value) {
    for (const auto& [key, record] : current_.records) {
        if (!key.starts_with("service/"))
            continue;
        json it = json::parse(record.json);
        for (json& member : it["hosts"]) {
            if (member["name"] != host)
                continue;
            member[field] = json::parse(json_value);
            // Schema 1 has neither state nor weight.
            it["schema"] = 2;
            publish(key, it.dump(2));
            return true;
        }
    }
    return false;
}

void record_store::set_key(std::uint64_t id, const std::string& state) {
    const std::string name = "keys/packets";
    auto record = nlohmann::json::parse(text(name));
    auto& keys = record.at("keys");
    auto changed = nlohmann::json::array();
    for (auto it : keys) {
        if (it.at("id") == id)
            continue;
        if (state == "active")
            it["state"] = "accepted";
        changed.push_back(it);
    }
    if (state != "removed") {
        // Each key has its own secret.
        std::ostringstream secret;
        secret << std::hex << std::setfill('0') << std::setw(32) << id;
        changed.push_back(
            {{"id", id}, {"secret", secret.str()}, {"state", state}});
    }
    keys = std::move(changed);
    publish(name, record.dump());
}

void record_store::touch() {
    const auto fleet = current_.records.lower_bound("fleet/");
    publish(fleet->first, std::string(fleet->second.json));
}

void record_store::set_mode(store_mode mode, const std::string& data_centre) {
    modes_[data_centre] = mode;
    if (mode == store_mode::stale)
        stale_states_[data_centre] = current_;
}

store_mode record_store::mode(const std::string& data_centre) const {
    const auto it = modes_.find(data_centre);
    return it == modes_.end() ? store_mode::up : it->second;
}

const record_store::state&
record_store::state_for(const std::string& data_centre) const {
    return mode(data_centre) == store_mode::stale
               ? stale_states_.at(data_centre)
               : current_;
}

config::head record_store::head(const std::string& data_centre) const {
    const state& visible = state_for(data_centre);
    config::head out{.gen = visible.gen};
    for (const auto& [key, record] : visible.records)
        out.records.push_back({key, record.revision});
    return out;
}

std::vector<records::raw_record>
record_store::read(const std::vector<std::string>& keys,
                   const std::string& data_centre) const {
    const state& visible = state_for(data_centre);
    std::vector<records::raw_record> out;
    for (const std::string& key : keys)
        if (const auto it = visible.records.find(key);
            it != visible.records.end())
            out.push_back(it->second);
    return out;
}

} // namespace arbutusport::emulator
