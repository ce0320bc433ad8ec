// Adds, removes and looks up the hosts and entries of the configuration.

#include <arbutusport/emulator/flow_world.hpp>

#include <algorithm>

namespace arbutusport::emulator {

namespace {

constexpr std::uint16_t packet_port = 7000;
constexpr std::uint16_t coap_port = 5683;
constexpr std::uint32_t first_client_address = 0xc0000000;
// Several clients share one address, as behind a NAT.
constexpr std::uint32_t clients_per_address = 64;
constexpr std::uint32_t first_client_port = 20'000;

} // namespace

flow_world::flow_world(std::size_t sessions, std::size_t documents,
                       std::size_t entries) {
    std::uint32_t address = 0x0b000000;
    for (const char* name : {session_service, document_service}) {
        records::service it;
        it.name = name;
        it.id = service_id_of(name);
        it.address = {++address, coap_port};
        draft_.services.push_back(std::move(it));
    }
    for (std::size_t i = 0; i < sessions; ++i)
        add_host(session_service);
    for (std::size_t i = 0; i < documents; ++i)
        add_host(document_service);
    for (std::size_t i = 0; i < entries; ++i)
        add_entry();
}

records::service& flow_world::service(const std::string& name) {
    return *std::ranges::find(draft_.services, name, &records::service::name);
}

records::host flow_world::add_host(const std::string& name, endpoint packets) {
    records::host it;
    it.name = name + "-" + std::to_string(++last_name_);
    it.id = process_id_of(it.name);
    it.packets =
        packets.port != 0 ? packets : endpoint{++last_address_, packet_port};
    auto& hosts = service(name).hosts;
    hosts.push_back(it);
    std::ranges::sort(hosts, {}, &records::host::id);
    return it;
}

records::entry flow_world::add_entry() {
    records::entry it;
    it.name = "entry-" + std::to_string(++last_name_);
    it.id = process_id_of(it.name);
    it.packets = {++last_address_, packet_port};
    draft_.entries.push_back(it);
    return it;
}

records::host* flow_world::find_host(process_id id) {
    for (auto& service : draft_.services)
        for (auto& host : service.hosts)
            if (host.id == id)
                return &host;
    return nullptr;
}

void flow_world::remove_host(process_id id) {
    for (auto& service : draft_.services)
        std::erase_if(service.hosts,
                      [&](const auto& host) { return host.id == id; });
}

records::snapshot_ptr flow_world::next() {
    draft_.gen = {1, draft_.gen.revision + 1};
    return std::make_shared<const records::snapshot>(draft_);
}

flow_key flow_of(std::uint32_t number, const records::service& service) {
    const auto port = first_client_port + number % clients_per_address;
    return {{first_client_address + number / clients_per_address,
             static_cast<std::uint16_t>(port)},
            service.address};
}

} // namespace arbutusport::emulator
