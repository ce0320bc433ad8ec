// Guards failure detection against missed failures, false suspicions and views
// that don't converge. A small fleet runs over a simulated network.

#include "probe_body.hpp"

#include <arbutusport/membership/membership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace arbutusport::membership {

namespace {

using namespace std::chrono_literals;

constexpr duration tick = 100ms;
constexpr std::size_t host_count = 7;
constexpr std::size_t member_count = 10;

std::string name_of(std::size_t i) {
    return i < host_count ? "host-" + std::to_string(i)
                          : "entry-" + std::to_string(i);
}

endpoint address_of(std::size_t i) {
    return {0x7f000001 + static_cast<std::uint32_t>(i), 7000};
}

process_id id_of(std::size_t i) {
    return process_id_of(name_of(i));
}

records::snapshot_ptr make_fleet() {
    auto it = std::make_shared<records::snapshot>();
    it->services.resize(1);
    for (std::size_t i = 0; i < member_count; ++i)
        if (i < host_count)
            it->services[0].hosts.push_back(
                {name_of(i), id_of(i), "poa-a", address_of(i)});
        else
            it->entries.push_back(
                {name_of(i), id_of(i), "poa-a", "rs-sul", address_of(i)});
    return it;
}

// A fleet in virtual time. Paused processes neither tick nor receive; messages
// to them are delivered when they resume.
class fleet {
public:
    explicit fleet(std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < member_count; ++i)
            start(i);
    }

    void start(std::size_t i) {
        incarnations_[i] = incarnation(incarnations_[i].value() + 1);
        tables_[i] = std::make_unique<member_table>(
            options{.self = id_of(i),
                    .run = incarnations_[i],
                    .seed = random_(),
                    .on_change = [this, i](const member_event& event) {
                        suspicion_counts_[i] +=
                            event.state == member_state::suspect ? 1 : 0;
                    }});
        tables_[i]->set_snapshot(make_fleet(), now_);
        paused_.erase(i);
        inbox_[i].clear();
    }
    void pause(std::size_t i) { paused_.insert(i); }
    void resume(std::size_t i) { paused_.erase(i); }
    void partition(std::set<std::size_t> partition_side) {
        partition_side_ = std::move(partition_side);
    }
    void set_loss_percent(int percent) { loss_percent_ = percent; }
    member_table& operator[](std::size_t i) { return *tables_[i]; }
    incarnation incarnation_of(std::size_t i) const {
        return incarnations_.at(i);
    }
    time_point now() const { return now_; }
    // Number of suspicions at process `i`, both its own and received ones.
    std::size_t suspicion_count(std::size_t i) { return suspicion_counts_[i]; }

    void advance(duration time) {
        for (const auto end = now_ + time; now_ < end; now_ += tick) {
            for (std::size_t i = 0; i < member_count; ++i)
                if (!paused_.contains(i))
                    send(i, tables_[i]->on_tick(now_));
            // Acks and relayed acks arrive within the same tick.
            for (int hop = 0; hop < 4; ++hop)
                deliver();
        }
    }

    std::size_t count_views(std::size_t of, member_state state) const {
        std::size_t n = 0;
        for (const auto& [i, table] : tables_)
            if (i != of && !paused_.contains(i))
                n += table->state(id_of(of)) == state ? 1 : 0;
        return n;
    }

private:
    struct message {
        std::size_t from;
        send_probe probe;
    };

    void send(std::size_t from, const actions& list) {
        for (const send_probe& it : list) {
            const std::size_t to = it.to.address - address_of(0).address;
            const bool is_partitioned =
                partition_side_.contains(from) != partition_side_.contains(to);
            if (!is_partitioned &&
                static_cast<int>(random_() % 100) >= loss_percent_)
                inbox_[to].push_back({from, it});
        }
    }

    void deliver() {
        for (std::size_t i = 0; i < member_count; ++i) {
            if (paused_.contains(i))
                continue;
            auto messages = std::exchange(inbox_[i], {});
            for (const message& it : messages)
                send(i, tables_[i]->on_probe(it.probe.kind, id_of(it.from),
                                             address_of(it.from), it.probe.body,
                                             now_));
        }
    }

    std::mt19937_64 random_;
    time_point now_{};
    std::map<std::size_t, std::unique_ptr<member_table>> tables_;
    std::map<std::size_t, incarnation> incarnations_;
    std::map<std::size_t, std::deque<message>> inbox_;
    std::map<std::size_t, std::size_t> suspicion_counts_;
    std::set<std::size_t> paused_;
    std::set<std::size_t> partition_side_;
    int loss_percent_ = 0;
};

} // namespace

class membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(an_unresponsive_member_is_marked_down_within_5_s);
    CPPUNIT_TEST(a_false_suspicion_is_refuted);
    CPPUNIT_TEST(a_paused_member_returns_in_its_incarnation);
    CPPUNIT_TEST(a_pause_causes_no_suspicion_of_peers);
    CPPUNIT_TEST(a_new_incarnation_supersedes_the_old_one);
    CPPUNIT_TEST(an_incarnation_in_the_future_is_ignored);
    CPPUNIT_TEST(the_platform_list_marks_leaving_but_never_alive);
    CPPUNIT_TEST(a_draining_host_is_leaving_until_active_again);
    CPPUNIT_TEST(random_faults_heal);
    CPPUNIT_TEST(malformed_probes_are_rejected_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_unresponsive_member_is_marked_down_within_5_s() {
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            fleet members(seed);
            members.advance(5s + tick * static_cast<int>(seed % 10));
            const std::size_t paused = seed % member_count;
            members.pause(paused);
            members.advance(5s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed), member_count - 1,
                members.count_views(paused, member_state::down));
        }
    }

    void a_false_suspicion_is_refuted() {
        fleet members(1);
        members.advance(2s);
        members[0].on_events(
            {{id_of(3), members.incarnation_of(3), 0, member_state::suspect}},
            members.now());
        members.advance(8s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(3, member_state::alive));
        members[0].on_events(
            {{id_of(3), members.incarnation_of(3), 9, member_state::down}},
            members.now());
        members.advance(30s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(3, member_state::alive));
    }

    void a_paused_member_returns_in_its_incarnation() {
        fleet members(2);
        members.advance(3s);
        members.pause(4);
        members.advance(60s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(4, member_state::down));
        members.resume(4);
        members.advance(tick);
        // The pause must not make the process mark healthy peers as down.
        CPPUNIT_ASSERT(members[4].take_resumed());
        CPPUNIT_ASSERT(!members[4].take_resumed());
        members.advance(3s);
        for (std::size_t i = 0; i < member_count; ++i)
            CPPUNIT_ASSERT(!members[4].is_down(id_of(i)));
        members.advance(12s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(4, member_state::alive));
    }

    // Guards against suspecting a peer because its ack was lost in a pause: a
    // probe that is outstanding at the pause gets no ack afterwards.
    void a_pause_causes_no_suspicion_of_peers() {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            fleet members(seed);
            members.advance(3s);
            members.set_loss_percent(100);
            members.advance(400ms);
            members.pause(4);
            members.set_loss_percent(0);
            members.advance(60s);
            const std::size_t before = members.suspicion_count(4);
            members.resume(4);
            members.advance(tick);
            CPPUNIT_ASSERT_EQUAL(before, members.suspicion_count(4));
        }
    }

    void a_new_incarnation_supersedes_the_old_one() {
        fleet members(3);
        members.advance(3s);
        members.pause(5);
        members.advance(10s);
        members.start(5);
        members.advance(5s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(5, member_state::alive));
        // Events of the old incarnation are ignored.
        members[0].on_events(
            {{id_of(5), incarnation(1), 99, member_state::down}},
            members.now());
        CPPUNIT_ASSERT(!members[0].is_down(id_of(5)));
    }

    // Guards against an event with a start time in the future, which would
    // supersede every genuine restart of that member.
    void an_incarnation_in_the_future_is_ignored() {
        fleet members(4);
        members.advance(3s);
        const auto is_marked_down_by_event = [&](std::uint64_t ms_ahead) {
            const auto ms = (members.incarnation_of(0).value() >> 16) +
                            static_cast<std::uint64_t>(
                                members.now().time_since_epoch() / 1ms) +
                            ms_ahead;
            members[0].on_events(
                {{id_of(5), incarnation(ms << 16), 0, member_state::down}},
                members.now());
            return members[0].is_down(id_of(5));
        };
        CPPUNIT_ASSERT(!is_marked_down_by_event(61'000));
        CPPUNIT_ASSERT(is_marked_down_by_event(50'000));
    }

    void the_platform_list_marks_leaving_but_never_alive() {
        fleet members(4);
        members.advance(3s);
        members[0].on_listed_leaving(id_of(6), members.now());
        members.advance(3s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(6, member_state::leaving));
        CPPUNIT_ASSERT(members[6].is_leaving(id_of(6)));
        members.pause(6);
        members.advance(6s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             members.count_views(6, member_state::down));
        members[0].on_listed_leaving(id_of(6), members.now());
        CPPUNIT_ASSERT(members[0].is_down(id_of(6)));
    }

    void a_draining_host_is_leaving_until_active_again() {
        std::vector<member_state> seen;
        member_table table({.self = id_of(0),
                            .run = incarnation(1),
                            .on_change = [&](const member_event& event) {
                                seen.push_back(event.state);
                            }});
        table.set_snapshot(make_fleet(), {});
        auto drained = std::make_shared<records::snapshot>(*make_fleet());
        drained->services[0].hosts[1].state = records::host_state::draining;
        table.set_snapshot(drained, {});
        CPPUNIT_ASSERT(table.is_leaving(id_of(1)));
        table.set_snapshot(make_fleet(), {});
        CPPUNIT_ASSERT(!table.is_leaving(id_of(1)));
        CPPUNIT_ASSERT(
            (seen == std::vector{member_state::leaving, member_state::alive}));
    }

    // After lost packets, a partition, pauses and restarts, every process must
    // see every other process alive again.
    void random_faults_heal() {
        const bool ok = rc::check([](std::uint64_t seed) {
            fleet members(seed);
            std::mt19937_64 random(seed);
            for (int step = 0; step < 8; ++step) {
                const std::size_t i = random() % member_count;
                switch (random() % 5) {
                case 0:
                    members.set_loss_percent(static_cast<int>(random() % 60));
                    break;
                case 1:
                    members.partition({i, random() % member_count});
                    break;
                case 2:
                    members.pause(i);
                    break;
                case 3:
                    members.start(i);
                    break;
                default:
                    members.resume(i);
                }
                members.advance(std::chrono::milliseconds(random() % 6000));
            }
            members.set_loss_percent(0);
            members.partition({});
            for (std::size_t i = 0; i < member_count; ++i)
                members.resume(i);
            members.advance(120s);
            for (std::size_t i = 0; i < member_count; ++i)
                RC_ASSERT(members.count_views(i, member_state::alive) ==
                          member_count - 1);
        });
        CPPUNIT_ASSERT(ok);
    }

    void malformed_probes_are_rejected_without_a_crash() {
        const auto accepts = [](byte_view data) {
            return handle_failure(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(decode_probe(data));
                    return true;
                },
                [](const failure&) { return false; });
        };
        const bytes good = encode_probe(
            {1, id_of(0), {{id_of(1), {}, 0, member_state::down}}});
        CPPUNIT_ASSERT(accepts(good));
        for (std::size_t n = 0; n < good.size(); ++n)
            CPPUNIT_ASSERT(!accepts(byte_view(good).first(n)));
        const bool ok = rc::check([&](bytes noise) {
            fleet members(0);
            for (const auto kind :
                 {probe_kind::probe, probe_kind::ack, probe_kind::request})
                members[0].on_probe(kind, id_of(1), address_of(1), noise,
                                    members.now());
            noise.insert(noise.begin(), good.begin(), good.end());
            RC_ASSERT(noise.size() == good.size() || !accepts(noise));
        });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace arbutusport::membership
