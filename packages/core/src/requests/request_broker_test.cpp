// Guards the broker's responses in cases that the fault schedules of the
// emulator do not cover: observation, cancellation, migration, limits, retries
// and drain.

#include <arbutusport/requests/binding.hpp>
#include <arbutusport/requests/coap_message.hpp>
#include <arbutusport/requests/request_broker.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::requests {

namespace {

using namespace std::chrono_literals;

const flow_key first_flow{{1, 5000}, {2, 5683}};
const flow_key second_flow{{1, 6000}, {2, 5683}};

broker_options make_options() {
    return {.self = process_id(1), .run = incarnation(7)};
}

template <class Action>
std::vector<Action> pick(const broker_actions& actions) {
    std::vector<Action> out;
    for (const auto& it : actions)
        if (const auto* found = std::get_if<Action>(&it))
            out.push_back(*found);
    return out;
}

coap_message only_reply(const broker_actions& actions) {
    const auto replies = pick<reply>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    return parse_message(replies.front().datagram).value();
}

coap_message only_work(const broker_actions& actions) {
    const auto work = pick<to_upstream>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work.size());
    return parse_message(work.front().datagram).value();
}

coap_message answer_to(const coap_message& work, std::uint8_t code) {
    auto it = make_response(code, "body");
    it.id = work.id;
    it.token = work.token;
    return it;
}

} // namespace

class request_broker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_broker_test);
    CPPUNIT_TEST(runs_a_bound_write_once);
    CPPUNIT_TEST(answers_unknown_to_foreign_bindings);
    CPPUNIT_TEST(passes_on_what_is_bound_to_another_host);
    CPPUNIT_TEST(revokes_bindings_when_the_table_is_full);
    CPPUNIT_TEST(cancels_queued_and_running_requests);
    CPPUNIT_TEST(repeats_notifications_through_another_entry);
    CPPUNIT_TEST(moves_a_session_by_its_binding);
    CPPUNIT_TEST(retries_reads_elsewhere_and_passes_writes_on);
    CPPUNIT_TEST(fails_a_transfer_with_a_changed_etag);
    CPPUNIT_TEST(ends_sessions_when_drained);
    CPPUNIT_TEST_SUITE_END();

    request_broker broker_{make_options()};
    time_point now_{10s};
    std::uint16_t last_id_ = 0;

    coap_message make(std::uint8_t code) {
        coap_message it;
        it.code = code;
        it.id = ++last_id_;
        it.token = make_token(last_id_);
        it.payload = to_bytes(std::to_string(last_id_));
        return it;
    }

    broker_actions ask(const coap_message& it,
                       const flow_key& flow = first_flow) {
        return broker_.on_client(flow, serialise(it), now_);
    }

    broker_actions give(const coap_message& it) {
        return broker_.on_upstream(serialise(it), now_);
    }

    coap_message make_bound(const flow_key& flow = first_flow) {
        const auto refusal = only_reply(ask(make(codes::post), flow));
        CPPUNIT_ASSERT_EQUAL(codes::unauthorized, refusal.code);
        auto it = make(codes::post);
        it.add(options::echo, refusal.find(options::echo)->value);
        return it;
    }

    coap_message start_observation(const coap_message& request) {
        const auto work = only_work(ask(request));
        auto answer = answer_to(work, codes::content);
        answer.add_uint(options::observe, 1);
        CPPUNIT_ASSERT(only_reply(give(answer)).find(options::observe));
        return work;
    }

public:
    void runs_a_bound_write_once() {
        const auto request = make_bound();
        const auto work = only_work(ask(request));
        CPPUNIT_ASSERT(!work.find(options::echo));
        CPPUNIT_ASSERT(ask(request).empty());
        const auto first = only_reply(give(answer_to(work, codes::changed)));
        CPPUNIT_ASSERT_EQUAL(request.id, first.id);
        CPPUNIT_ASSERT(only_reply(ask(request)) == first);
        // A late duplicate of the response, and a duplicate of the request
        // after the binding has expired.
        CPPUNIT_ASSERT(give(answer_to(work, codes::changed)).empty());
        now_ += 301s;
        broker_.on_tick(now_);
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout,
                             only_reply(ask(request)).code);
    }

    void answers_unknown_to_foreign_bindings() {
        auto request = make(codes::post);
        request.add(
            options::echo,
            encode_binding(
                {process_id(1), incarnation(6), session_id(1), 0, 10}, {}));
        const auto answer = only_reply(ask(request));
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout, answer.code);
        CPPUNIT_ASSERT_EQUAL(std::string(unknown_payload),
                             payload_text(answer));
        CPPUNIT_ASSERT(answer.find(options::echo));
    }

    void passes_on_what_is_bound_to_another_host() {
        auto request = make(codes::post);
        request.add(
            options::echo,
            encode_binding(
                {process_id(2), incarnation(7), session_id(1), 0, 10}, {}));
        const auto passed = pick<pass_on>(ask(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, passed.size());
        CPPUNIT_ASSERT(passed.front().host == process_id(2));
        auto options = make_options();
        options.is_down = [](process_id) { return true; };
        request_broker alone(options);
        CPPUNIT_ASSERT_EQUAL(
            codes::gateway_timeout,
            only_reply(alone.on_client(first_flow, serialise(request), now_))
                .code);
    }

    void revokes_bindings_when_the_table_is_full() {
        auto options = make_options();
        options.max_dedup = 0;
        request_broker full(options);
        auto request = make(codes::post);
        const auto unbound =
            only_reply(full.on_client(first_flow, serialise(request), now_));
        request.add(options::echo, unbound.find(options::echo)->value);
        const auto refused =
            only_reply(full.on_client(first_flow, serialise(request), now_));
        CPPUNIT_ASSERT_EQUAL(std::string(not_run_payload),
                             payload_text(refused));
        CPPUNIT_ASSERT_EQUAL(
            codes::gateway_timeout,
            only_reply(full.on_client(first_flow, serialise(request), now_))
                .code);
    }

    void cancels_queued_and_running_requests() {
        const auto running = make_bound();
        const auto work = only_work(ask(running));
        only_work(ask(make(codes::get)));
        const auto queued = make_bound();
        CPPUNIT_ASSERT(ask(queued).empty());
        const auto refused =
            only_reply(ask(make_empty(coap_type::reset, queued.id)));
        CPPUNIT_ASSERT_EQUAL(std::string(not_run_payload),
                             payload_text(refused));
        CPPUNIT_ASSERT(only_reply(ask(queued)) == refused);
        const auto cancelled = ask(make_empty(coap_type::reset, running.id));
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout,
                             only_reply(cancelled).code);
        CPPUNIT_ASSERT(only_work(cancelled) ==
                       make_empty(coap_type::reset, work.id));
    }

    void repeats_notifications_through_another_entry() {
        auto request = make(codes::get);
        request.add_uint(options::observe, 0);
        const auto work = start_observation(request);
        auto change = answer_to(work, codes::content);
        change.type = coap_type::non_confirmable;
        change.add_uint(options::observe, 2);
        const auto sent = only_reply(give(change));
        CPPUNIT_ASSERT(sent.type == coap_type::confirmable);
        CPPUNIT_ASSERT(sent.token == request.token);
        now_ += 3s;
        const auto again = pick<reply>(broker_.on_tick(now_));
        CPPUNIT_ASSERT(again.size() == 1 && again.front().retransmission);
        ask(make_empty(coap_type::acknowledgement, sent.id));
        now_ += 1h;
        CPPUNIT_ASSERT(broker_.on_tick(now_).empty());
        now_ += 24h;
        const auto daily = only_reply(broker_.on_tick(now_));
        CPPUNIT_ASSERT(daily.payload == sent.payload && daily.id != sent.id);
        const auto ended = ask(make_empty(coap_type::reset, daily.id));
        CPPUNIT_ASSERT(only_work(ended) ==
                       make_empty(coap_type::reset, work.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broker_.sessions());
    }

    void moves_a_session_by_its_binding() {
        const auto request = make_bound();
        const auto actions = ask(request, second_flow);
        const auto moved = pick<migrate_flow>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.size());
        CPPUNIT_ASSERT(moved.front().from == first_flow &&
                       moved.front().to == second_flow);
        // A late copy from the old port does not move the session back.
        CPPUNIT_ASSERT(pick<migrate_flow>(ask(request)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broker_.sessions());
    }

    void retries_reads_elsewhere_and_passes_writes_on() {
        const auto write = make_bound();
        auto shed = answer_to(only_work(ask(write)), codes::unavailable);
        shed.add_uint(options::max_age, 5);
        shed.payload = to_bytes(not_run_payload);
        const auto passed = only_reply(give(shed));
        CPPUNIT_ASSERT_EQUAL(5U, *passed.find_uint(options::max_age));
        CPPUNIT_ASSERT(payload_text(passed) != not_run_payload);
        // Ten first attempts earn one retry.
        std::size_t retries = 0;
        for (int i = 0; i < 10; ++i) {
            const auto work = only_work(ask(make(codes::get)));
            give(answer_to(work, codes::unavailable));
            now_ += 100ms;
            for (const auto& it :
                 pick<execute_elsewhere>(broker_.on_tick(now_))) {
                ++retries;
                const auto answer = broker_.on_execute_reply(
                    it.exchange,
                    serialise(make_response(codes::content, "other")), now_);
                CPPUNIT_ASSERT_EQUAL(std::string("other"),
                                     payload_text(only_reply(answer)));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retries);
    }

    void fails_a_transfer_with_a_changed_etag() {
        std::vector<std::uint8_t> codes_seen;
        for (std::uint32_t n = 0; n < 2; ++n) {
            auto request = make(codes::get);
            request.payload.clear();
            set_block(request, options::block2, {n, false, 2});
            auto answer = answer_to(only_work(ask(request)), codes::content);
            answer.add_uint(options::etag, 100 + n);
            set_block(answer, options::block2, {n, true, 2});
            codes_seen.push_back(only_reply(give(answer)).code);
        }
        CPPUNIT_ASSERT_EQUAL(codes::content, codes_seen[0]);
        CPPUNIT_ASSERT_EQUAL(codes::incomplete, codes_seen[1]);
    }

    void ends_sessions_when_drained() {
        const auto request = make_bound();
        const auto work = only_work(ask(request));
        broker_.drain(now_ + 1s);
        now_ += 2s;
        CPPUNIT_ASSERT(pick<release_flow>(broker_.on_tick(now_)).empty());
        CPPUNIT_ASSERT_EQUAL(
            codes::changed,
            only_reply(give(answer_to(work, codes::changed))).code);
        const auto end = broker_.on_tick(now_);
        const auto notice = only_reply(end);
        CPPUNIT_ASSERT_EQUAL(codes::unavailable, notice.code);
        CPPUNIT_ASSERT_EQUAL(0U, *notice.find_uint(options::max_age));
        CPPUNIT_ASSERT(pick<release_flow>(end).front().flow == first_flow);
        CPPUNIT_ASSERT(broker_.drained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_broker_test);

} // namespace arbutusport::requests
