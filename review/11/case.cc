// A rolling restart of the host processes and then of the entries, while flows
// are idle whose clients have used the same port before, for a flow at another
// host.

#include "../standins-3/standin.h"

using namespace standin;

namespace {

constexpr std::uint16_t first_port = 20001;
constexpr std::size_t port_count = 24;

int body(const std::string& program, const std::string& folder,
         record_file& record) {
    const layout at;
    const deployment_options options;
    const std::string service = "participa";
    const address route_address{at.net + 200, 8443};
    const bool trouble = wants_trouble();
    record.line(trouble ? "with the disruption" : "without the disruption");

    store platform_store(record);
    platform_store.listen({at.store_ip(), at.store});
    host a({"host-a", {at.host(0), at.app}, {at.host(0), at.outbound}}, record);
    host b({"host-b", {at.host(1), at.app}, {at.host(1), at.outbound}}, record);
    platform_store.put("op/config",
                       configuration(1, {{route_address, service}}, {service}));
    platform_store.put(
        "servers/i-a",
        registration(service, {at.host(0), at.app}, options.zone, a.born()));
    platform_store.put(
        "servers/i-b",
        registration(service, {at.host(1), at.app}, options.zone, b.born()));

    std::vector<std::unique_ptr<process>> entries, sides;
    for (std::size_t i = 0; i < 2; ++i)
        entries.push_back(std::make_unique<process>(
            "entry-" + std::to_string(i), program,
            settings_of(at, "entry-" + std::to_string(i), at.entry(i), true,
                        options, service, at.store_ip()),
            folder));
    for (std::size_t i = 0; i < 2; ++i)
        sides.push_back(std::make_unique<process>(
            i == 0 ? "side-a" : "side-b", program,
            settings_of(at, i == 0 ? "side-a" : "side-b", at.host(i), false,
                        options, service, at.store_ip()),
            folder));
    for (auto& it : entries)
        it->start();
    for (auto& it : sides)
        it->start();
    routers fabric({{at.entry(0), at.ready}, {at.entry(1), at.ready}},
                   at.packets, record);
    for (int i = 0; i < 200 && !fabric.all_ready(); ++i)
        sleep_ms(50);
    if (!fabric.all_ready())
        throw cannot_run("the entries did not become ready");
    sleep_ms(1500);

    client user(at.client(0), at.packets, fabric, record);
    struct pair {
        std::uint16_t port = 0;
        std::string first, second;
        client::flow flow;
    };
    std::vector<pair> pairs;
    for (std::size_t i = 0; i < port_count; ++i) {
        pair one;
        one.port = static_cast<std::uint16_t>(first_port + i);
        client::flow old;
        const std::string id = "first-" + std::to_string(one.port);
        if (!user.open(old, one.port, route_address).opened)
            continue;
        const auto answer = user.request(old, id, true);
        if (!answer.answered || !old.ended)
            continue;
        one.first = answer.host;
        pairs.push_back(one);
    }
    sleep_ms(1000);
    std::vector<pair> used;
    for (pair& one : pairs) {
        if (!user.open(one.flow, one.port, route_address).opened)
            continue;
        const auto answer =
            user.request(one.flow, "second-" + std::to_string(one.port), false);
        if (!answer.answered)
            continue;
        one.second = answer.host;
        record.line("client port " + std::to_string(one.port) +
                    ": ended flow at " + one.first + ", open flow at " +
                    one.second);
        used.push_back(one);
    }
    std::size_t moved = 0;
    for (const pair& one : used)
        moved += one.first != one.second ? 1 : 0;
    if (moved == 0)
        throw cannot_run("no port had its two flows at different hosts");

    if (trouble) {
        for (auto& it : sides)
            it->restart(record);
        for (auto& it : entries) {
            it->restart(record);
            for (int i = 0; i < 60 && !fabric.all_ready(); ++i)
                sleep_ms(50);
        }
    } else
        sleep_ms(9000);
    for (int i = 0; i < 60 && !fabric.all_ready(); ++i)
        sleep_ms(50);

    int broken = 0;
    for (pair& one : used) {
        const std::string id = "third-" + std::to_string(one.port);
        const auto answer = user.request(one.flow, id, false);
        const host& owner = one.second == "host-a" ? a : b;
        const bool holds =
            owner.holds(one.flow.from, one.flow.to, one.flow.host_isn);
        if (!answer.reset || !holds)
            continue;
        ++broken;
        sleep_ms(100);
        record.line(
            "FLOW: the flow of port " + std::to_string(one.port) + " at " +
            one.second + " was reset; " + one.second +
            " lives and holds it, and " +
            (owner.run_requests().contains(id) ? "ran" : "did not run") +
            " the request " + id);
    }
    record.line(std::to_string(used.size()) + " open flows, " +
                std::to_string(moved) +
                " with an ended one at the other host, " +
                std::to_string(broken) + " reset");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, body);
}
