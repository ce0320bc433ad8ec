// Properties of flow ownership under random joint changes, in virtual time.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/flow_network.hpp>
#include <arbutusport/emulator/flow_world.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <span>
#include <vector>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t flow_limit = 40;
constexpr std::size_t max_steps = 24;
// A slot is served while one of its ranked hosts is alive.
constexpr std::size_t max_dead_hosts = routing::ranks_per_slot - 1;
// Longer than all first tries of a query, shorter than what membership takes
// for a death.
constexpr duration host_pause = seconds(2);
constexpr duration uneven_publication = seconds(3);

enum class step_kind : std::uint8_t {
    traffic,
    join_host,
    join_entry,
    drain_host,
    remove_host,
    replace_host,
    change_service,
    kill_host,
    kill_entry,
    pause_host,
    pause_entry,
    shed_load,
    publish,
};

constexpr int step_kinds = 13;

struct step {
    step_kind kind;
    std::uint32_t pick;
};

// What a run of steps showed.
struct outcome {
    std::uint64_t double_owned = 0;
    std::uint64_t broken = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t unanswered = 0;
};

class scenario {
public:
    explicit scenario(const network_options& options)
        : world_(6, 2, 3), network_(options) {
        for (const auto& service : world_.draft().services)
            for (const auto& host : service.hosts)
                add(host, service.id);
        for (const auto& entry : world_.draft().entries)
            network_.add_entry(entry);
        network_.publish(world_.next(), duration(0));
        network_.run_for(seconds(1));
    }

    void run(const step& it) {
        apply(it);
        send_some(it.pick);
        network_.run_for(milliseconds(20 + it.pick % 400));
        check();
    }

    // Lets time pass, so that deaths are noticed and snapshots arrive, and
    // then expects an answer on each flow.
    outcome finish() {
        publish(duration(0));
        network_.run_for(seconds(8));
        // Enough retransmissions that losses alone leave none unanswered.
        for (int round = 0; round < 12; ++round) {
            for (std::uint32_t i = 0; i < flow_limit; ++i)
                if (round < 2 || network_.answers(flow(i)) == 0)
                    send(i);
            network_.run_for(seconds(1));
        }
        check();
        result_.broken = network_.counts().broken_flows;
        result_.misrouted = network_.counts().misrouted_packets;
        for (std::uint32_t i = 0; i < flow_limit; ++i)
            if (network_.answers(flow(i)) == 0)
                ++result_.unanswered;
        return result_;
    }

    void end_losses() { network_.set_loss(0); }

private:
    void add(const records::host& it, service_id service) {
        network_.add_host(it, service);
        hosts_.push_back(it.id);
    }

    const records::service& service_of(std::uint32_t number) {
        return world_.service(number % 4 == 0 ? document_service
                                              : session_service);
    }

    flow_key flow(std::uint32_t number) {
        return flow_of(number, service_of(number));
    }

    void send(std::uint32_t number) {
        network_.send(flow(number), service_of(number).id);
    }

    void send_some(std::uint32_t pick) {
        for (std::uint32_t i = 0; i < 12; ++i)
            send(
                static_cast<std::uint32_t>(hash_combine(pick, i) % flow_limit));
    }

    void publish(duration uneven) { network_.publish(world_.next(), uneven); }

    // A live session host of the draft, if the service has enough others.
    records::host* pick_host(std::uint32_t pick, std::size_t spare) {
        std::vector<process_id> live;
        for (const auto& it : world_.service(session_service).hosts)
            if (network_.is_alive(it.id) &&
                it.state == records::host_state::active)
                live.push_back(it.id);
        if (live.size() <= spare)
            return nullptr;
        return world_.find_host(live[pick % live.size()]);
    }

    void join_host(endpoint packets = {}) {
        const auto it = world_.add_host(session_service, packets);
        add(it, service_id_of(session_service));
        publish(uneven_publication);
    }

    void apply(const step& it) {
        switch (it.kind) {
        case step_kind::join_host:
            if (hosts_.size() < 14)
                join_host();
            break;
        case step_kind::join_entry:
            network_.add_entry(world_.add_entry());
            publish(uneven_publication);
            break;
        case step_kind::pause_entry:
            network_.pause(pick_entry(it.pick), network_.now() + seconds(3));
            break;
        case step_kind::kill_entry:
            if (entries_killed_ < 2) {
                network_.kill(pick_entry(it.pick));
                ++entries_killed_;
            }
            break;
        case step_kind::publish:
            publish(uneven_publication);
            break;
        case step_kind::traffic:
            break;
        default:
            apply_to_host(it);
        }
    }

    process_id pick_entry(std::uint32_t pick) {
        const auto& all = world_.draft().entries;
        return all[pick % all.size()].id;
    }

    void apply_to_host(const step& step) {
        records::host* it = pick_host(step.pick, 3);
        if (it == nullptr)
            return;
        const process_id id = it->id;
        const endpoint packets = it->packets;
        switch (step.kind) {
        case step_kind::drain_host:
            it->state = records::host_state::draining;
            return publish(uneven_publication);
        case step_kind::remove_host:
            world_.remove_host(id);
            return publish(uneven_publication);
        case step_kind::replace_host:
            it->state = records::host_state::draining;
            return join_host();
        case step_kind::change_service:
            network_.kill(id);
            world_.remove_host(id);
            add(world_.add_host(document_service, packets),
                service_id_of(document_service));
            return publish(uneven_publication);
        case step_kind::kill_host:
            if (dead_hosts() < max_dead_hosts)
                network_.kill(id);
            return;
        case step_kind::pause_host:
            return network_.pause(id, network_.now() + host_pause);
        default:
            return network_.set_accepting(id, step.pick % 3 == 0);
        }
    }

    // Dead hosts that the configuration still names.
    std::size_t dead_hosts() {
        std::size_t n = 0;
        for (const auto& it : world_.service(session_service).hosts)
            n += network_.is_alive(it.id) ? 0 : 1;
        return n;
    }

    void check() {
        for (std::uint32_t i = 0; i < flow_limit; ++i)
            if (network_.owners(flow(i)).size() > 1)
                ++result_.double_owned;
    }

    flow_world world_;
    flow_network network_;
    std::vector<process_id> hosts_;
    int entries_killed_ = 0;
    outcome result_;
};

std::vector<step> draw_steps() {
    const auto raw = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1U << 30));
    std::vector<step> out;
    for (const auto it : std::span(raw).first(std::min(raw.size(), max_steps)))
        out.push_back(
            {static_cast<step_kind>(it % step_kinds), it / step_kinds});
    return out;
}

constexpr std::uint64_t guard_seed = 7;

// Traffic, then new hosts at short intervals.
std::vector<step> drain_and_join() {
    std::vector<step> out;
    for (std::uint32_t i = 0; i < 20; ++i)
        out.push_back({step_kind::traffic, i * 37});
    for (std::uint32_t i = 0; i < 8; ++i) {
        out.push_back({step_kind::join_host, i * 41});
        out.push_back({step_kind::drain_host, i * 43});
        out.push_back({step_kind::traffic, 399 + 400 * i});
    }
    return out;
}

// Traffic, then enough new hosts and entries that owners lose their ranks
// and packets arrive without hints.
std::vector<step> replace_ranks() {
    auto out = drain_and_join();
    for (std::uint32_t i = 0; i < 12; ++i) {
        out.push_back({step_kind::join_entry, 0});
        out.push_back({step_kind::traffic, 399 + 400 * i});
    }
    return out;
}

network_options lossy(std::uint64_t seed) {
    network_options it;
    it.seed = seed;
    it.max_delay = milliseconds(10);
    it.loss = 0.05;
    it.duplicates = 0.05;
    return it;
}

outcome run(const network_options& options, const std::vector<step>& steps) {
    scenario it(options);
    for (const auto& step : steps)
        it.run(step);
    return it.finish();
}

} // namespace

class flow_property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_property_test);
    CPPUNIT_TEST(flows_survive_joint_changes);
    CPPUNIT_TEST(claims_end_when_any_message_may_be_lost);
    CPPUNIT_TEST(breaks_flows_without_queries);
    CPPUNIT_TEST(breaks_flows_without_bitmaps);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second owner, a flow moved off a live host, a packet
    // at a wrong service, and a claim that never ends.
    void flows_survive_joint_changes() {
        CPPUNIT_ASSERT(rc::check([] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto steps = draw_steps();
            RC_LOG() << "seed=" << seed << " steps=";
            for (const auto& step : steps)
                RC_LOG() << int(step.kind) << ':' << step.pick << ' ';
            const outcome it = run(lossy(seed), steps);
            RC_ASSERT(it.double_owned == 0);
            RC_ASSERT(it.broken == 0);
            RC_ASSERT(it.misrouted == 0);
            RC_ASSERT(it.unanswered == 0);
        }));
    }

    // Guards against a claim that holds packets for ever when peers and
    // messages are missing, and against packets at a wrong service then.
    void claims_end_when_any_message_may_be_lost() {
        CPPUNIT_ASSERT(rc::check([] {
            auto options = lossy(*rc::gen::arbitrary<std::uint64_t>());
            options.loss = 0.4;
            options.loss_spacing = duration(0);
            scenario it(options);
            for (const auto& step : draw_steps())
                it.run(step);
            it.end_losses();
            const outcome seen = it.finish();
            RC_ASSERT(seen.misrouted == 0);
            RC_ASSERT(seen.unanswered == 0);
        }));
    }

    // Shows that the property sees what queries and bitmaps prevent: the
    // same steps break flows once either is switched off.
    void breaks_flows_without_queries() {
        auto options = lossy(guard_seed);
        options.checks.query_owners = false;
        CPPUNIT_ASSERT(run(lossy(guard_seed), drain_and_join()).broken == 0);
        const auto broken = run(options, drain_and_join()).broken;
        std::cout << "without_queries seed=" << guard_seed
                  << " broken_flows=" << broken << '\n';
        CPPUNIT_ASSERT(broken > 0);
    }

    void breaks_flows_without_bitmaps() {
        auto options = lossy(guard_seed);
        // Few, so that owners are not found by old redirects instead.
        options.max_redirects = 8;
        CPPUNIT_ASSERT(run(options, replace_ranks()).broken == 0);
        options.checks.use_bitmaps = false;
        const auto broken = run(options, replace_ranks()).broken;
        std::cout << "without_bitmaps seed=" << guard_seed
                  << " broken_flows=" << broken << '\n';
        CPPUNIT_ASSERT(broken > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_property_test);

} // namespace arbutusport::emulator
