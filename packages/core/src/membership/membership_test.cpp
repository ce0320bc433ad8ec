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
        runs_[i] = incarnation(runs_[i].value() + 1);
        tables_[i] = std::make_unique<member_table>(options{
            .self = id_of(i),
            .run = runs_[i],
            .seed = random_(),
            .on_change = [this, i](const member_event& event) {
                accusations_[i] += event.state == member_state::suspect ? 1 : 0;
            }});
        tables_[i]->set_snapshot(make_fleet(), now_);
        stopped_.erase(i);
        inbox_[i].clear();
    }
    void stop(std::size_t i) { stopped_.insert(i); }
    void resume(std::size_t i) { stopped_.erase(i); }
    void split(std::set<std::size_t> side) { side_ = std::move(side); }
    void lose(int percent) { loss_ = percent; }
    member_table& operator[](std::size_t i) { return *tables_[i]; }
    incarnation run(std::size_t i) const { return runs_.at(i); }
    time_point now() const { return now_; }
    // Number of suspicions at process `i`, both its own and received ones.
    std::size_t accusations(std::size_t i) { return accusations_[i]; }

    void advance(duration time) {
        for (const auto end = now_ + time; now_ < end; now_ += tick) {
            for (std::size_t i = 0; i < member_count; ++i)
                if (!stopped_.contains(i))
                    send(i, tables_[i]->on_tick(now_));
            // Acks and relayed acks arrive within the same tick.
            for (int hop = 0; hop < 4; ++hop)
                deliver();
        }
    }

    std::size_t views(std::size_t of, member_state state) const {
        std::size_t n = 0;
        for (const auto& [i, table] : tables_)
            if (i != of && !stopped_.contains(i))
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
            const bool cut = side_.contains(from) != side_.contains(to);
            if (!cut && static_cast<int>(random_() % 100) >= loss_)
                inbox_[to].push_back({from, it});
        }
    }

    void deliver() {
        for (std::size_t i = 0; i < member_count; ++i) {
            if (stopped_.contains(i))
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
    std::map<std::size_t, incarnation> runs_;
    std::map<std::size_t, std::deque<message>> inbox_;
    std::map<std::size_t, std::size_t> accusations_;
    std::set<std::size_t> stopped_;
    std::set<std::size_t> side_;
    int loss_ = 0;
};

} // namespace

class membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(a_dead_member_is_down_within_5_s);
    CPPUNIT_TEST(a_false_suspicion_is_refuted);
    CPPUNIT_TEST(a_paused_member_returns_in_its_incarnation);
    CPPUNIT_TEST(a_pause_is_no_evidence_against_peers);
    CPPUNIT_TEST(a_restarted_member_replaces_the_old);
    CPPUNIT_TEST(an_incarnation_of_the_future_is_refused);
    CPPUNIT_TEST(the_list_marks_leaving_but_never_alive);
    CPPUNIT_TEST(the_configuration_marks_leaving_and_back);
    CPPUNIT_TEST(random_faults_heal);
    CPPUNIT_TEST(survives_hostile_bytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_dead_member_is_down_within_5_s() {
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            fleet it(seed);
            it.advance(5s + tick * static_cast<int>(seed % 10));
            const std::size_t dead = seed % member_count;
            it.stop(dead);
            it.advance(5s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         member_count - 1,
                                         it.views(dead, member_state::down));
        }
    }

    void a_false_suspicion_is_refuted() {
        fleet it(1);
        it.advance(2s);
        it[0].on_events({{id_of(3), it.run(3), 0, member_state::suspect}},
                        it.now());
        it.advance(8s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             it.views(3, member_state::alive));
        it[0].on_events({{id_of(3), it.run(3), 9, member_state::down}},
                        it.now());
        it.advance(30s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             it.views(3, member_state::alive));
    }

    void a_paused_member_returns_in_its_incarnation() {
        fleet it(2);
        it.advance(3s);
        it.stop(4);
        it.advance(60s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1, it.views(4, member_state::down));
        it.resume(4);
        it.advance(tick);
        // The pause must not make the process mark healthy peers as down.
        CPPUNIT_ASSERT(it[4].take_resumed());
        CPPUNIT_ASSERT(!it[4].take_resumed());
        it.advance(3s);
        for (std::size_t i = 0; i < member_count; ++i)
            CPPUNIT_ASSERT(!it[4].is_down(id_of(i)));
        it.advance(12s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             it.views(4, member_state::alive));
    }

    // Guards against suspecting a peer because its ack was lost in a pause: a
    // probe that is outstanding at the pause gets no ack afterwards.
    void a_pause_is_no_evidence_against_peers() {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            fleet it(seed);
            it.advance(3s);
            it.lose(100);
            it.advance(400ms);
            it.stop(4);
            it.lose(0);
            it.advance(60s);
            const std::size_t before = it.accusations(4);
            it.resume(4);
            it.advance(tick);
            CPPUNIT_ASSERT_EQUAL(before, it.accusations(4));
        }
    }

    void a_restarted_member_replaces_the_old() {
        fleet it(3);
        it.advance(3s);
        it.stop(5);
        it.advance(10s);
        it.start(5);
        it.advance(5s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             it.views(5, member_state::alive));
        // Events of the old incarnation are ignored.
        it[0].on_events({{id_of(5), incarnation(1), 99, member_state::down}},
                        it.now());
        CPPUNIT_ASSERT(!it[0].is_down(id_of(5)));
    }

    // Guards against an event with a start time in the future, which would
    // supersede every genuine restart of that member.
    void an_incarnation_of_the_future_is_refused() {
        fleet it(4);
        it.advance(3s);
        const auto told = [&](std::uint64_t ms_ahead) {
            const auto ms =
                (it.run(0).value() >> 16) +
                static_cast<std::uint64_t>(it.now().time_since_epoch() / 1ms) +
                ms_ahead;
            it[0].on_events(
                {{id_of(5), incarnation(ms << 16), 0, member_state::down}},
                it.now());
            return it[0].is_down(id_of(5));
        };
        CPPUNIT_ASSERT(!told(61'000));
        CPPUNIT_ASSERT(told(50'000));
    }

    void the_list_marks_leaving_but_never_alive() {
        fleet it(4);
        it.advance(3s);
        it[0].on_listed_leaving(id_of(6), it.now());
        it.advance(3s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1,
                             it.views(6, member_state::leaving));
        CPPUNIT_ASSERT(it[6].is_leaving(id_of(6)));
        it.stop(6);
        it.advance(6s);
        CPPUNIT_ASSERT_EQUAL(member_count - 1, it.views(6, member_state::down));
        it[0].on_listed_leaving(id_of(6), it.now());
        CPPUNIT_ASSERT(it[0].is_down(id_of(6)));
    }

    void the_configuration_marks_leaving_and_back() {
        std::vector<member_state> seen;
        member_table it({.self = id_of(0),
                         .run = incarnation(1),
                         .on_change = [&](const member_event& event) {
                             seen.push_back(event.state);
                         }});
        it.set_snapshot(make_fleet(), {});
        auto drained = std::make_shared<records::snapshot>(*make_fleet());
        drained->services[0].hosts[1].state = records::host_state::draining;
        it.set_snapshot(drained, {});
        CPPUNIT_ASSERT(it.is_leaving(id_of(1)));
        it.set_snapshot(make_fleet(), {});
        CPPUNIT_ASSERT(!it.is_leaving(id_of(1)));
        CPPUNIT_ASSERT(
            (seen == std::vector{member_state::leaving, member_state::alive}));
    }

    // After lost packets, a partition, pauses and restarts, every process must
    // see every other process alive again.
    void random_faults_heal() {
        const bool ok = rc::check([](std::uint64_t seed) {
            fleet it(seed);
            std::mt19937_64 random(seed);
            for (int step = 0; step < 8; ++step) {
                const std::size_t i = random() % member_count;
                switch (random() % 5) {
                case 0:
                    it.lose(static_cast<int>(random() % 60));
                    break;
                case 1:
                    it.split({i, random() % member_count});
                    break;
                case 2:
                    it.stop(i);
                    break;
                case 3:
                    it.start(i);
                    break;
                default:
                    it.resume(i);
                }
                it.advance(std::chrono::milliseconds(random() % 6000));
            }
            it.lose(0);
            it.split({});
            for (std::size_t i = 0; i < member_count; ++i)
                it.resume(i);
            it.advance(120s);
            for (std::size_t i = 0; i < member_count; ++i)
                RC_ASSERT(it.views(i, member_state::alive) == member_count - 1);
        });
        CPPUNIT_ASSERT(ok);
    }

    void survives_hostile_bytes() {
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
            fleet it(0);
            for (const auto kind :
                 {probe_kind::probe, probe_kind::ack, probe_kind::request})
                it[0].on_probe(kind, id_of(1), address_of(1), noise, it.now());
            noise.insert(noise.begin(), good.begin(), good.end());
            RC_ASSERT(noise.size() == good.size() || !accepts(noise));
        });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace arbutusport::membership
