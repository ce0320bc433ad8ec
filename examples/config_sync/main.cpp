// Two processes in memory: one has read a configuration at the platform, the
// other gets it by gossip. Exits 0 if it does.
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

class pair_of_processes {
public:
    explicit pair_of_processes(const ctl::record_directory& published)
        : published_(published), left_({.self = process_id_of("poa-a-entry-1"),
                                        .data_centre = "poa-a",
                                        .seeds = {right_address}}),
          right_({.self = process_id_of("poa-b-entry-1"),
                  .data_centre = "poa-b",
                  .seeds = {left_address}}) {}

    void tick(time_point now) {
        act(left_, left_.on_tick(now), now);
        act(right_, right_.on_tick(now), now);
    }

    bool agree() const {
        return left_.current() && right_.current() &&
               left_.current()->gen == right_.current()->gen;
    }

private:
    void act(config::config_sync& self, const config::sync_actions& actions,
             time_point now) {
        for (const config::sync_action& action : actions)
            if (const auto* it =
                    std::get_if<config::send_sync_request>(&action))
                exchange(self, *it, now);
            else if (std::holds_alternative<config::watch_head>(action))
                read_head(self, now);
            else if (std::holds_alternative<config::fetch_records>(action))
                act(self, self.on_records(published_.set, now), now);
            else if (const auto* it =
                         std::get_if<config::configuration_in_force>(&action))
                std::cout << (&self == &left_ ? "left" : "right")
                          << ": generation " << to_string(it->snapshot->gen)
                          << '\n';
    }

    void exchange(config::config_sync& self,
                  const config::send_sync_request& it, time_point now) {
        const bool to_left = it.peer == left_address;
        if (!to_left && it.peer != right_address)
            return act(self, self.on_peer_error(it.peer, now), now);
        config::config_sync& peer = to_left ? left_ : right_;
        if (&peer == &self)
            return;
        const auto answer = peer.on_request(it.request, now);
        act(peer, answer.actions, now);
        act(self, self.on_reply(it.peer, answer.reply, now), now);
    }

    // The platform serves the left process only.
    void read_head(config::config_sync& self, time_point now) {
        if (&self != &left_)
            return act(self, self.on_platform_error(now), now);
        config::head head{published_.gen, {}};
        for (const records::raw_record& it : published_.set)
            head.records.push_back({it.key, it.revision});
        act(self, self.on_head(head, now), now);
    }

    ctl::record_directory published_;
    config::config_sync left_;
    config::config_sync right_;
};

result<int> run(const std::string& path) {
    BOOST_LEAF_AUTO(published, ctl::read_record_directory(path));
    published.gen.revision = 1;
    pair_of_processes processes(published);
    for (time_point now{}; now < time_point(60s); now += 100ms)
        processes.tick(now);
    return processes.agree() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "example_config_sync DIRECTORY\n";
        return 2;
    }
    return handle_failure([&] { return run(argv[1]); },
                          [](const failure& it) {
                              std::cerr << it.peer << ": " << it.reason << '\n';
                              return 1;
                          });
}
