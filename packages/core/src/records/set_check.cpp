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

    void name(const std::string& text, std::uint64_t id,
              std::map<std::uint64_t, std::string>& names, const place& at) {
        if (text.empty())
            return;
        const auto [it, is_new] = names.emplace(id, text);
        if (!is_new)
            reject(at, '"' + text + '"',
                   it->second == text
                       ? "a name that no other record or host uses"
                       : "a name whose id differs from that of " + it->second);
    }

    void address(const endpoint& value, std::map<endpoint, place>& used,
                 const place& at) {
        if (value == endpoint{})
            return; // already reported as malformed
        const auto [it, is_new] = used.emplace(value, at);
        if (!is_new)
            reject(at, to_string(value),
                   "an address other than that of " + it->second.key + " " +
                       it->second.path);
    }

    void reject(const place& at, const std::string& found,
                const std::string& allowed) {
        errors_.push_back(
            {"check_records", at.key,
             at.path + ": found " + found + ", allowed " + allowed});
    }

    // Data packets and clients use UDP, control uses TCP. The same address and
    // port may therefore be used once for each.
    std::map<endpoint, place> udp;
    std::map<endpoint, place> tcp;
    std::map<std::uint64_t, std::string> processes;
    std::map<std::uint64_t, std::string> services;

private:
    std::vector<failure>& errors_;
};

void check_service(const service& it, checker& check) {
    const std::string key = "service/" + it.name;
    check.name(it.name, it.id.value(), check.services, {key, "name"});
    check.address(it.address, check.udp, {key, "address"});
    for (std::size_t i = 0; i < it.hosts.size(); ++i) {
        const host& member = it.hosts[i];
        const std::string path = "hosts[" + std::to_string(i) + "].";
        check.name(member.name, member.id.value(), check.processes,
                   {key, path + "name"});
        check.address(member.packets, check.udp, {key, path + "packets"});
        check.address(member.control, check.tcp, {key, path + "control"});
    }
}

void check_entry(const entry& it, const place& at, checker& check) {
    check.name(it.name, it.id.value(), check.processes,
               {at.key, at.path + ".name"});
    check.address(it.packets, check.udp, {at.key, at.path + ".packets"});
    check.address(it.control, check.tcp, {at.key, at.path + ".control"});
}

void check_packet_keys(const parsed_set& set, checker& check) {
    std::set<key_id> ids;
    std::size_t active = 0;
    place last{"keys", "state"};
    for (std::size_t i = 0; i < set.out.keys.size(); ++i) {
        const packet_key& it = set.out.keys[i];
        const place& at = set.key_places[i];
        if (!ids.insert(it.id).second)
            check.reject({at.key, at.path + ".id"},
                         std::to_string(it.id.value()),
                         "an id that no other key uses");
        if (it.state == key_state::active) {
            ++active;
            last = {at.key, at.path + ".state"};
        }
    }
    if (active != 1)
        check.reject(last, std::to_string(active) + " active keys",
                     "exactly one");
}

void check_epoch(const parsed_set& set, checker& check) {
    if (set.fleet_epochs.size() != 1)
        return check.reject({"fleet", "record"},
                            std::to_string(set.fleet_epochs.size()) +
                                " fleet records",
                            "exactly one");
    const auto& [key, epoch] = set.fleet_epochs.front();
    if (epoch != set.out.gen.epoch)
        check.reject({key, "epoch"}, std::to_string(epoch),
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
    checker check(errors);
    for (const service& member : it.out.services)
        check_service(member, check);
    for (std::size_t i = 0; i < it.out.entries.size(); ++i)
        check_entry(it.out.entries[i], it.entry_places[i], check);
    check_packet_keys(it, check);
    check_epoch(it, check);
}

} // namespace arbutusport::records
