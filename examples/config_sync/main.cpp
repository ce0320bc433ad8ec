// Runs two processes in memory: the left one reads a configuration from the
// platform, the right one receives it by gossip. Exits with 0 if both apply
// the same generation within 60 s of virtual time.
//
//   example_config_sync examples/records/consulta-sul

#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/ctl/record_directory.hpp>

#include <iostream>
#include <map>

namespace {

using namespace arbutusport;
using namespace std::chrono_literals;

const endpoint left_address{0x7f000001, 7001};
const endpoint right_address{0x7f000002, 7001};

class gossip_pair {
public:
    explicit gossip_pair(const ctl::record_directory& published)
        : published_(published), left_({.self = process_id_of("poa-a-entry-1"),
                                        .data_centre = "poa-a",
                                        .seeds = {right_address}}),
          right_({.self = process_id_of("poa-b-entry-1"),
                  .data_centre = "poa-b",
                  .seeds = {left_address}}) {}

    void tick(time_point now) {
        perform(left_, left_.on_tick(now), now);
        perform(right_, right_.on_tick(now), now);
    }

    bool has_converged() const {
        return left_.current() && right_.current() &&
               left_.current()->gen == right_.current()->gen;
    }

private:
    void perform(config::config_sync& process,
                 const config::sync_actions& actions, time_point now) {
        for (const config::sync_action& action : actions)
            if (const auto* sync =
                    std::get_if<config::send_sync_request>(&action))
                exchange(process, *sync, now);
            else if (std::holds_alternative<config::watch_head>(action))
                read_head(process, now);
            else if (std::holds_alternative<config::fetch_records>(action))
                perform(process, process.on_records(published_.set, now), now);
            else if (const auto* applied =
                         std::get_if<config::configuration_in_force>(&action))
                std::cout << (&process == &left_ ? "left" : "right")
                          << ": generation "
                          << to_string(applied->snapshot->gen) << '\n';
    }

    void exchange(config::config_sync& process,
                  const config::send_sync_request& sync, time_point now) {
        const bool is_to_left = sync.peer == left_address;
        if (!is_to_left && sync.peer != right_address)
            return perform(process, process.on_peer_error(sync.peer, now), now);
        config::config_sync& peer = is_to_left ? left_ : right_;
        if (&peer == &process)
            return;
        const auto response = peer.on_request(sync.request, now);
        perform(peer, response.actions, now);
        perform(process, process.on_reply(sync.peer, response.reply, now), now);
    }

    // Only the left process can reach the platform.
    void read_head(config::config_sync& process, time_point now) {
        if (&process != &left_)
            return perform(process, process.on_platform_error(now), now);
        config::head head{published_.gen, {}};
        for (const records::raw_record& record : published_.set)
            head.records.push_back({record.key, record.revision});
        perform(process, process.on_head(head, now), now);
    }

    ctl::record_directory published_;
    config::config_sync left_;
    config::config_sync right_;
};

result<int> run(const std::string& path) {
    BOOST_LEAF_AUTO(published, ctl::read_record_directory(path));
    published.gen.revision = 1;
    gossip_pair processes(published);
    for (time_point now{}; now < time_point(60s); now += 100ms)
        processes.tick(now);
    return processes.has_converged() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: example_config_sync DIRECTORY\n";
        return 2;
    }
    return handle_failure([&] { return run(argv[1]); },
                          [](const failure& it) {
                              std::cerr << it.peer << ": " << it.reason << '\n';
                              return 1;
                          });
}
