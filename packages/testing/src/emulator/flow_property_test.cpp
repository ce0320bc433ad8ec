// Properties of flow ownership under random combined changes in virtual time.

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
// A slot remains available while one of its ranked hosts is alive.
constexpr std::size_t max_dead_hosts = routing::ranks_per_slot - 1;
// Longer than the first attempts of a query together, shorter than the time
// after which the membership reports a host as down.
constexpr duration host_pause = seconds(2);
constexpr duration max_publication_delay = seconds(3);

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
    std::uint32_t choice;
};

// Violations counted during a run.
struct run_result {
    std::uint64_t duplicate_owners = 0;
    std::uint64_t broken = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t unanswered = 0;
};

class flow_scenario {
public:
    explicit flow_scenario(const network_options& options)
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
        send_random_flows(it.choice);
        network_.run_for(milliseconds(20 + it.choice % 400));
        count_duplicate_owners();
    }

    // Waits until failures are detected and snapshots have arrived, then
    // sends on every flow and counts those without a response.
    run_result finish() {
        publish(duration(0));
        network_.run_for(seconds(8));
        // Enough retransmissions that random loss alone leaves no flow
        // unanswered.
        for (int round = 0; round < 12; ++round) {
            for (std::uint32_t i = 0; i < flow_limit; ++i)
                if (round < 2 || network_.answers(flow(i)) == 0)
                    send(i);
            network_.run_for(seconds(1));
        }
        count_duplicate_owners();
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

    void send_random_flows(std::uint32_t choice) {
        for (std::uint32_t i = 0; i < 12; ++i)
            send(static_cast<std::uint32_t>(hash_combine(choice, i) %
                                            flow_limit));
    }

    void publish(duration max_delay) {
        network_.publish(world_.next(), max_delay);
    }

    // An active, live host of the session service; null if at most `spare`
    // such hosts exist.
    records::host* pick_host(std::uint32_t choice, std::size_t spare) {
        std::vector<process_id> live;
        for (const auto& it : world_.service(session_service).hosts)
            if (network_.is_alive(it.id) &&
                it.state == records::host_state::active)
                live.push_back(it.id);
        if (live.size() <= spare)
            return nullptr;
        return world_.find_host(live[choice % live.size()]);
    }

    void join_host(endpoint packets = {}) {
        const auto it = world_.add_host(session_service, packets);
        add(it, service_id_of(session_service));
        publish(max_publication_delay);
    }

    void apply(const step& it) {
        switch (it.kind) {
        case step_kind::join_host:
            if (hosts_.size() < 14)
                join_host();
            break;
        case step_kind::join_entry:
            network_.add_entry(world_.add_entry());
            publish(max_publication_delay);
            break;
        case step_kind::pause_entry:
            network_.pause(pick_entry(it.choice), network_.now() + seconds(3));
            break;
        case step_kind::kill_entry:
            if (entries_killed_ < 2) {
                network_.kill(pick_entry(it.choice));
                ++entries_killed_;
            }
            break;
        case step_kind::publish:
            publish(max_publication_delay);
            break;
        case step_kind::traffic:
            break;
        default:
            apply_to_host(it);
        }
    }

    process_id pick_entry(std::uint32_t choice) {
        const auto& all = world_.draft().entries;
        return all[choice % all.size()].id;
    }

    void apply_to_host(const step& step) {
        records::host* it = pick_host(step.choice, 3);
        if (it == nullptr)
            return;
        const process_id id = it->id;
        const endpoint packets = it->packets;
        switch (step.kind) {
        case step_kind::drain_host:
            it->state = records::host_state::draining;
            return publish(max_publication_delay);
        case step_kind::remove_host:
            world_.remove_host(id);
            return publish(max_publication_delay);
        case step_kind::replace_host:
            it->state = records::host_state::draining;
            return join_host();
        case step_kind::change_service:
            network_.kill(id);
            world_.remove_host(id);
            add(world_.add_host(document_service, packets),
                service_id_of(document_service));
            return publish(max_publication_delay);
        case step_kind::kill_host:
            if (dead_hosts() < max_dead_hosts)
                network_.kill(id);
            return;
        case step_kind::pause_host:
            return network_.pause(id, network_.now() + host_pause);
        default:
            return network_.set_accepting(id, step.choice % 3 == 0);
        }
    }

    // Dead hosts that are still configured.
    std::size_t dead_hosts() {
        std::size_t n = 0;
        for (const auto& it : world_.service(session_service).hosts)
            n += network_.is_alive(it.id) ? 0 : 1;
        return n;
    }

    void count_duplicate_owners() {
        for (std::uint32_t i = 0; i < flow_limit; ++i)
            if (network_.owners(flow(i)).size() > 1)
                ++result_.duplicate_owners;
    }

    flow_world world_;
    flow_network network_;
    std::vector<process_id> hosts_;
    int entries_killed_ = 0;
    run_result result_;
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

constexpr std::uint64_t regression_seed = 7;

// Traffic, followed by hosts that join and drain at short intervals.
std::vector<step> join_and_drain_steps() {
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

// Adds enough hosts and entries that owners lose their ranks and packets
// arrive without hints.
std::vector<step> rank_replacement_steps() {
    auto out = join_and_drain_steps();
    for (std::uint32_t i = 0; i < 12; ++i) {
        out.push_back({step_kind::join_entry, 0});
        out.push_back({step_kind::traffic, 399 + 400 * i});
    }
    return out;
}

network_options lossy_options(std::uint64_t seed) {
    network_options it;
    it.seed = seed;
    it.max_delay = milliseconds(10);
    it.loss = 0.05;
    it.duplicates = 0.05;
    return it;
}

run_result run(const network_options& options, const std::vector<step>& steps) {
    flow_scenario it(options);
    for (const auto& step : steps)
        it.run(step);
    return it.finish();
}

} // namespace

class flow_property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_property_test);
    CPPUNIT_TEST(flows_keep_a_single_owner_under_combined_changes);
    CPPUNIT_TEST(claims_end_despite_unbounded_message_loss);
    CPPUNIT_TEST(flows_break_when_queries_are_disabled);
    CPPUNIT_TEST(flows_break_when_bitmaps_are_disabled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second owner, a flow that leaves a live host, a packet
    // delivered to the wrong service, and a claim that never ends.
    void flows_keep_a_single_owner_under_combined_changes() {
        CPPUNIT_ASSERT(rc::check([] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto steps = draw_steps();
            RC_LOG() << "seed=" << seed << " steps=";
            for (const auto& step : steps)
                RC_LOG() << int(step.kind) << ':' << step.choice << ' ';
            const run_result it = run(lossy_options(seed), steps);
            RC_ASSERT(it.duplicate_owners == 0);
            RC_ASSERT(it.broken == 0);
            RC_ASSERT(it.misrouted == 0);
            RC_ASSERT(it.unanswered == 0);
        }));
    }

    // Guards against a claim that holds packets indefinitely when peers are
    // down and messages are lost, and against misrouted packets in that case.
    void claims_end_despite_unbounded_message_loss() {
        CPPUNIT_ASSERT(rc::check([] {
            auto options = lossy_options(*rc::gen::arbitrary<std::uint64_t>());
            options.loss = 0.4;
            options.loss_spacing = duration(0);
            flow_scenario it(options);
            for (const auto& step : draw_steps())
                it.run(step);
            it.end_losses();
            const run_result seen = it.finish();
            RC_ASSERT(seen.misrouted == 0);
            RC_ASSERT(seen.unanswered == 0);
        }));
    }

    // Shows that the property test detects what queries and bitmaps prevent:
    // the same steps break flows when either mechanism is disabled.
    void flows_break_when_queries_are_disabled() {
        auto options = lossy_options(regression_seed);
        options.checks.query_owners = false;
        CPPUNIT_ASSERT(
            run(lossy_options(regression_seed), join_and_drain_steps())
                .broken == 0);
        const auto broken = run(options, join_and_drain_steps()).broken;
        std::cout << "without_queries seed=" << regression_seed
                  << " broken_flows=" << broken << '\n';
        CPPUNIT_ASSERT(broken > 0);
    }

    void flows_break_when_bitmaps_are_disabled() {
        auto options = lossy_options(regression_seed);
        // A low limit, so that old redirects do not lead to the owners.
        options.max_redirects = 8;
        CPPUNIT_ASSERT(run(options, rank_replacement_steps()).broken == 0);
        options.checks.use_bitmaps = false;
        const auto broken = run(options, rank_replacement_steps()).broken;
        std::cout << "without_bitmaps seed=" << regression_seed
                  << " broken_flows=" << broken << '\n';
        CPPUNIT_ASSERT(broken > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_property_test);

} // namespace arbutusport::emulator
