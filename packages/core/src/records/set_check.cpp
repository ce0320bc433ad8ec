// Checks uniqueness across the records of a set.

#include "set_check.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace arbutusport::records {

namespace {

class checker {
public:
    explicit checker(std::vector<failure>& errors) : errors_(errors) {}

    void check_name(const std::string& text, std::uint64_t id,
                    std::map<std::uint64_t, std::string>& names,
                    const record_location& at) {
        if (text.empty())
            return;
        const auto [it, is_new] = names.emplace(id, text);
        if (!is_new)
            reject(at, '"' + text + '"',
                   it->second == text
                       ? "a name that no other record or host uses"
                       : "a name whose id differs from that of " + it->second);
    }

    void check_address(const endpoint& value,
                       std::map<endpoint, record_location>& used,
                       const record_location& at) {
        if (value == endpoint{})
            return; // already reported as malformed
        const auto [it, is_new] = used.emplace(value, at);
        if (!is_new)
            reject(at, to_string(value),
                   "an address other than that of " + it->second.key + " " +
                       it->second.path);
    }

    void reject(const record_location& at, const std::string& found,
                const std::string& allowed) {
        errors_.push_back(
            {"check_records", at.key,
             at.path + ": found " + found + ", allowed " + allowed});
    }

    // Data packets and clients use UDP, control uses TCP. The same address and
    // port may therefore be used once for each.
    std::map<endpoint, record_location> udp;
    std::map<endpoint, record_location> tcp;
    std::map<std::uint64_t, std::string> processes;
    std::map<std::uint64_t, std::string> services;

private:
    std::vector<failure>& errors_;
};

void check_service(const service& it, checker& checks) {
    const std::string key = "service/" + it.name;
    checks.check_name(it.name, it.id.value(), checks.services, {key, "name"});
    checks.check_address(it.address, checks.udp, {key, "address"});
    for (std::size_t i = 0; i < it.hosts.size(); ++i) {
        const host& member = it.hosts[i];
        const std::string path = "hosts[" + std::to_string(i) + "].";
        checks.check_name(member.name, member.id.value(), checks.processes,
                          {key, path + "name"});
        checks.check_address(member.packets, checks.udp,
                             {key, path + "packets"});
        checks.check_address(member.control, checks.tcp,
                             {key, path + "control"});
    }
}

void check_entry(const entry& it, const record_location& at, checker& checks) {
    checks.check_name(it.name, it.id.value(), checks.processes,
                      {at.key, at.path + ".name"});
    checks.check_address(it.packets, checks.udp,
                         {at.key, at.path + ".packets"});
    checks.check_address(it.control, checks.tcp,
                         {at.key, at.path + ".control"});
}

void check_packet_keys(const parsed_set& set, checker& checks) {
    std::set<key_id> ids;
    std::size_t active = 0;
    record_location last{"keys", "state"};
    for (std::size_t i = 0; i < set.out.keys.size(); ++i) {
        const packet_key& it = set.out.keys[i];
        const record_location& at = set.key_locations[i];
        if (!ids.insert(it.id).second)
            checks.reject({at.key, at.path + ".id"},
                          std::to_string(it.id.value()),
                          "an id that no other key uses");
        if (it.state == key_state::active) {
            ++active;
            last = {at.key, at.path + ".state"};
        }
    }
    if (active != 1)
        checks.reject(last, std::to_string(active) + " active keys",
                      "exactly one");
}

void check_epoch(const parsed_set& set, checker& checks) {
    if (set.fleet_epochs.size() != 1)
        return checks.reject({"fleet", "record"},
                             std::to_string(set.fleet_epochs.size()) +
                                 " fleet records",
                             "exactly one");
    const auto& [key, epoch] = set.fleet_epochs.front();
    if (epoch != set.out.gen.epoch)
        checks.reject({key, "epoch"}, std::to_string(epoch),
                      "the generation's epoch " +
                          std::to_string(set.out.gen.epoch));
}

} // namespace

void check_keys(const std::vector<raw_record>& raw,
                std::vector<failure>& errors) {
    std::set<std::string> seen;
    for (const raw_record& it : raw)
        if (!seen.insert(it.key).second)
            checker(errors).reject({it.key, "record"}, "a second record",
                                   "one record for each key");
}

void check_set(const parsed_set& it, std::vector<failure>& errors) {
    checker checks(errors);
    for (const service& member : it.out.services)
        check_service(member, checks);
    for (std::size_t i = 0; i < it.out.entries.size(); ++i)
        check_entry(it.out.entries[i], it.entry_locations[i], checks);
    check_packet_keys(it, checks);
    check_epoch(it, checks);
}

} // namespace arbutusport::records
