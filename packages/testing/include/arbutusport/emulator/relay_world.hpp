// Entries, host processes, hosts and clients of the relay in virtual time,
// without a network: packets and messages are events with a delay. The world
// checks what callers rely on: no live host's flow is reset, and no host is
// given a flow of another service.
#pragma once

#include <arbutusport/relay/entry_relay.hpp>
#include <arbutusport/relay/host_relay.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct relay_world_options {
    std::size_t entries = 3;
    std::size_t hosts = 6;
    std::uint64_t seed = 1;
    duration delay = std::chrono::milliseconds(1);
    /// Share of packets and messages that get lost.
    double loss = 0;
    /// Bytes a second that each entry's searches may send.
    double search_bytes_per_second = 31e6;
};

/// @brief What happens to the n-th packet or message from a moment on: it is
/// late by a time, or lost if that is empty. All others take the usual delay.
using deviations = std::map<std::size_t, std::optional<duration>>;

/// @brief What went wrong, one line each; empty if nothing did.
using violations = std::vector<std::string>;

class relay_world {
public:
    explicit relay_world(relay_world_options options);
    ~relay_world();

    /// @brief Runs until `until` on the world's clock, which starts at 0.
    void run_until(duration until);
    void run_for(duration time) { run_until(now_ + time); }
    /// @brief Numbers packets and messages from here on, from 0.
    void deviate(deviations from_here);
    /// @brief How many there were since deviate().
    std::size_t transfers() const { return transfers_; }
    duration now() const { return now_; }

    /// @brief Opens a flow through the entry; returns its number. Port 443 of
    /// the service address has a route, others have none.
    std::size_t open_flow(std::size_t entry, std::uint16_t service_port = 443);
    /// @brief Sends a request on a flow through the entry.
    void send_request(std::size_t flow, std::size_t entry);

    bool is_open(std::size_t flow) const;
    bool is_reset(std::size_t flow) const;
    std::uint64_t answers(std::size_t flow) const;
    /// @brief Index of the host that has the flow; the number of hosts if
    /// none has.
    std::size_t owner(std::size_t flow) const;

    void kill_entry(std::size_t entry);
    void start_entry(std::size_t entry);
    /// @brief Nothing gets from or to the entry's own peers.
    void isolate_entry(std::size_t entry, bool isolated);
    void kill_host_process(std::size_t host);
    void start_host_process(std::size_t host);
    /// @brief The host forgets its flows; nothing listens any more.
    void crash_host(std::size_t host);
    /// @brief A new run of the host, registered at once.
    void boot_host(std::size_t host);
    /// @brief The host is registered as draining.
    void drain_host(std::size_t host);
    /// @brief It accepts no connections, but still serves its flows.
    void close_listener(std::size_t host);
    /// @brief The registration vanishes.
    void unregister_host(std::size_t host);
    /// @brief Takes packets, but never answers.
    void silence_host(std::size_t host, bool silent);
    /// @brief The host's address now belongs to a host of another service.
    void reuse_address(std::size_t host);

    /// @brief A new configuration sends new flows to another service, which
    /// has no host here.
    void move_route();

    /// @brief The entry cannot read the store.
    void cut_store(std::size_t entry);
    void restore_store(std::size_t entry);
    /// @brief All registrations lapse, as in an outage of the store.
    void lapse_all();

    std::uint64_t bytes_sent_by_entries() const { return entry_bytes_; }
    std::uint64_t resets() const { return resets_; }
    std::uint64_t placed_at(std::size_t host) const;
    /// @brief Answers of the store so far, and calls that it refused.
    std::uint64_t store_answers() const { return store_answers_; }
    std::uint64_t store_refusals() const { return store_refusals_; }
    /// @brief Entries that read the store now, and the first of them.
    std::size_t readers() const;
    std::size_t reader() const;
    bool entry_ready(std::size_t entry) const;
    const relay::directory& directory_of(std::size_t entry) const;
    const violations& found() const { return violations_; }

    /// @brief What a packet carries in this world.
    struct packet_fields {
        flow_key flow;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint16_t payload = 0;
        bool syn = false;
        bool ack = false;
        bool returned = false;
    };

private:
    struct flow_state;
    struct host_state;
    struct entry_state;

    void at(duration delay, std::function<void()> action);
    /// @brief Delay of the next packet or message; empty if it gets lost.
    std::optional<duration> transfer();
    bool is_isolated(relay::machine_address machine) const;
    time_point time() const { return time_point(now_); }
    void tick();
    void publish(std::size_t host);
    void list(std::size_t entry);
    relay::directory_change routing() const;
    void send_change(const relay::directory_change& it);
    relay::host_record record_of(std::size_t host) const;
    void send_to_host(relay::machine_address from, relay::machine_address to,
                      relay::routing_mark mark, byte_view data);
    void send_message(relay::machine_address from, relay::machine_address to,
                      const relay::message& it);
    void deliver_to_host(std::size_t host, relay::machine_address via,
                         const bytes& packet);
    void answer(std::size_t host, const packet_fields& fields);
    void on_client(const flow_key& flow, const bytes& packet);
    void on_reset(const flow_key& flow, const std::string& sender);
    void send_packet(const flow_state& flow, std::size_t entry,
                     const packet_fields& fields);
    void retransmit(std::size_t flow, std::size_t entry, std::uint64_t request,
                    duration interval);
    std::size_t index_of(const flow_key& it) const;

    relay_world_options options_;
    duration now_{};
    std::uint64_t random_;
    std::uint64_t revision_ = 1;
    std::uint64_t routing_revision_ = 1;
    service_id routed_;
    std::vector<std::unique_ptr<entry_state>> entries_;
    std::vector<std::unique_ptr<host_state>> hosts_;
    std::vector<flow_state> flows_;
    // Events by time and order of creation.
    std::map<std::pair<duration, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t next_event_ = 0;
    deviations deviations_;
    std::size_t transfers_ = 0;
    std::uint64_t entry_bytes_ = 0;
    std::uint64_t resets_ = 0;
    std::uint64_t store_answers_ = 0;
    std::uint64_t store_refusals_ = 0;
    violations violations_;
};

} // namespace arbutusport::emulator
