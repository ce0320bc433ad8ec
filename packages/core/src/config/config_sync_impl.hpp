// Implementation of config_sync. config_sync.cpp holds start-up and adoption,
// gossip.cpp the exchange with peers, platform.cpp reads from the platform.
#pragma once

#include "peer_set.hpp"
#include "sync_envelope.hpp"

#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/delta.hpp>
#include <arbutusport/wire/make_keyring.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace arbutusport::config {

class config_sync::impl {
public:
    explicit impl(sync_options options)
        : options_(std::move(options)),
          peers_(options_.self, options_.data_centre, options_.seeds),
          random_(options_.seed ^ options_.self.value()) {}

    void on_tick(time_point now, sync_actions& out);
    void on_head(const head& listed, time_point now, sync_actions& out);
    void on_records(const std::vector<records::raw_record>& read,
                    time_point now, sync_actions& out);
    void on_platform_error(time_point now, sync_actions& out);
    bytes on_request(byte_view request, time_point now, sync_actions& out);
    void on_reply(const endpoint& peer, byte_view reply, time_point now,
                  sync_actions& out);
    void on_peer_error(const endpoint& peer, time_point now, sync_actions& out);

    const records::snapshot_ptr& current() const { return current_; }
    bool is_reader() const {
        return current_ && peers_.is_reader(options_.readers_per_data_centre,
                                            options_.is_down);
    }

private:
    enum class read_state { idle, head, records };

    struct claim {
        generation gen;
        std::size_t pull_count = 0;
    };

    // Start-up and adoption.
    void begin_startup(time_point now);
    void startup_tick(time_point now, sync_actions& out);
    void query_startup_peers(time_point now, sync_actions& out);
    void try_adopt_candidate(time_point now, sync_actions& out);
    bool can_end_startup_window(time_point now);
    void adopt(records::snapshot_ptr snapshot, time_point now,
               sync_actions& out);
    void set_current(records::snapshot_ptr snapshot, sync_actions& out);
    void mark_refused(generation gen, std::uint64_t digest, const failure& why,
                      sync_actions& out);
    bool is_refused(generation gen, std::uint64_t digest) const;
    /// @brief Builds a snapshot and adopts it. False if the set was refused.
    bool build_and_adopt(generation gen, std::vector<records::raw_record> set,
                         time_point now, sync_actions& out);

    // Gossip.
    void run_gossip_round(std::size_t peers, time_point now, sync_actions& out);
    void send_request(const endpoint& peer, sync_message message,
                      time_point now, sync_actions& out);
    bytes answer_untagged_request(const sync_message& request) const;
    /// @brief True if `reply` answers a request to `peer` and is either tagged
    /// or may be untagged. Each nonce is accepted once.
    bool accept_reply(const endpoint& peer, const opened_sync& reply);
    bool is_seed(const endpoint& peer) const;
    bool is_plausible(generation gen) const;
    void request_sync(const endpoint& peer, bool wants_delta, time_point now,
                      sync_actions& out);
    void pull_from(const endpoint& peer, time_point now, sync_actions& out);
    void pull_claimed_set(const endpoint& peer, generation gen, time_point now,
                          sync_actions& out);
    void expire_requests(time_point now, sync_actions& out);
    void apply_message(const sync_message& message, time_point now,
                       sync_actions& out);
    void adopt_delta(const records::record_delta& delta, time_point now,
                     sync_actions& out);
    bool is_usable_update(const sync_message& message) const;
    sync_message make_message();
    records::record_delta delta_from(generation gen) const;

    // Platform.
    void platform_tick(time_point now, sync_actions& out);
    bool should_read_head(time_point now) const;
    void read_head(duration wait, time_point now, sync_actions& out);
    void fetch(const head& listed, time_point now, sync_actions& out);
    std::optional<std::vector<records::raw_record>>
    assemble_set(const std::vector<records::raw_record>& read, bool& is_newer);
    void schedule_first_fetch(time_point now);

    /// @brief The newest known set: the one in force, or the candidate during
    /// the start-up window. Null if there is none.
    const records::snapshot_ptr& base() const {
        return current_ ? current_ : candidate_;
    }
    generation base_gen() const { return base() ? base()->gen : generation{}; }
    duration jitter(duration limit);

    sync_options options_;
    peer_set peers_;
    std::mt19937_64 random_;

    // The set in force. Its generation never decreases.
    records::snapshot_ptr current_;
    // The newest set received in the start-up window; null afterwards.
    records::snapshot_ptr candidate_;
    std::uint64_t base_digest_ = 0;
    // Keys of base(); empty while there is none.
    wire::keyring_ptr keyring_ = std::make_shared<const wire::keyring>();
    // Outlines of the newest sets, newest last. Peers with one of these sets
    // are sent a delta.
    std::deque<records::outline> outlines_;
    // Refused generations and digests, newest last. A digest of 0 marks a set
    // from the platform, whose content is not known before the read.
    std::deque<std::pair<generation, std::uint64_t>> refused_sets_;

    std::optional<time_point> last_tick_;
    bool is_started_ = false;
    // True while peers are queried a second time for a set newer than the
    // candidate, at the end of the start-up window.
    bool is_confirming_ = false;
    time_point window_end_;
    time_point next_round_at_;
    // Peers that were queried in the start-up window.
    std::set<endpoint> queried_peers_;
    // Peers that replied in the start-up window, for the second query.
    std::set<endpoint> replied_peers_;
    // Send times of outstanding requests, by peer.
    std::map<endpoint, time_point> outstanding_requests_;
    // Peer and send time of each request whose reply may still arrive, by
    // nonce.
    std::map<std::uint64_t, std::pair<endpoint, time_point>> nonces_;
    // Peers that announced a newer generation which has not been received yet.
    std::map<endpoint, claim> claims_;
    std::optional<endpoint> pull_peer_;
    // Peers with an outstanding push of a delta.
    std::set<endpoint> pushed_peers_;
    // The newest generation whose delta was requested from a peer, and the time
    // until which no other peer is requested to send it.
    generation requested_gen_;
    time_point requested_until_;

    read_state read_state_ = read_state::idle;
    time_point read_started_at_;
    duration read_timeout_{};
    time_point next_read_at_;
    time_point next_direct_read_at_;
    duration backoff_{};
    bool platform_answered_ = false;
    // True if the head must be read again, even if this is no reader.
    bool must_reread_head_ = false;
    // The head whose records are being read, or will be at first_fetch_at_.
    std::optional<head> pending_head_;
    time_point first_fetch_at_;
};

} // namespace arbutusport::config
