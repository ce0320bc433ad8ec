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
std::vector<Action> select_actions(const broker_actions& actions) {
    std::vector<Action> out;
    for (const auto& it : actions)
        if (const auto* found = std::get_if<Action>(&it))
            out.push_back(*found);
    return out;
}

coap_message only_reply(const broker_actions& actions) {
    const auto replies = select_actions<reply>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    return parse_message(replies.front().datagram).value();
}

coap_message only_upstream_message(const broker_actions& actions) {
    const auto messages = select_actions<to_upstream>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
    return parse_message(messages.front().datagram).value();
}

coap_message make_upstream_response(const coap_message& upstream_request,
                                    std::uint8_t code) {
    auto response = make_response(code, "body");
    response.id = upstream_request.id;
    response.token = upstream_request.token;
    return response;
}

} // namespace

class request_broker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_broker_test);
    CPPUNIT_TEST(runs_a_bound_request_only_once);
    CPPUNIT_TEST(reports_unknown_outcome_for_binding_of_other_incarnation);
    CPPUNIT_TEST(forwards_request_bound_to_another_host);
    CPPUNIT_TEST(revokes_bindings_if_dedup_table_is_full);
    CPPUNIT_TEST(cancels_queued_and_running_requests);
    CPPUNIT_TEST(retransmits_notifications_through_another_entry);
    CPPUNIT_TEST(migrates_session_to_new_flow_by_its_binding);
    CPPUNIT_TEST(retries_shed_reads_at_other_hosts_but_not_writes);
    CPPUNIT_TEST(fails_block_transfer_if_etag_changes);
    CPPUNIT_TEST(closes_sessions_after_drain_deadline);
    CPPUNIT_TEST_SUITE_END();

    request_broker broker_{make_options()};
    time_point now_{10s};
    std::uint16_t last_id_ = 0;

    coap_message make_request(std::uint8_t code) {
        coap_message request;
        request.code = code;
        request.id = ++last_id_;
        request.token = make_token(last_id_);
        request.payload = to_bytes(std::to_string(last_id_));
        return request;
    }

    broker_actions send_request(const coap_message& request,
                                const flow_key& flow = first_flow) {
        return broker_.on_client(flow, serialise(request), now_);
    }

    broker_actions send_upstream_message(const coap_message& message) {
        return broker_.on_upstream(serialise(message), now_);
    }

    coap_message make_bound_request(const flow_key& flow = first_flow) {
        const auto rejection =
            only_reply(send_request(make_request(codes::post), flow));
        CPPUNIT_ASSERT_EQUAL(codes::unauthorized, rejection.code);
        auto request = make_request(codes::post);
        request.add(options::echo, rejection.find(options::echo)->value);
        return request;
    }

    coap_message start_observation(const coap_message& request) {
        const auto upstream_request =
            only_upstream_message(send_request(request));
        auto answer = make_upstream_response(upstream_request, codes::content);
        answer.add_uint(options::observe, 1);
        CPPUNIT_ASSERT(
            only_reply(send_upstream_message(answer)).find(options::observe));
        return upstream_request;
    }

public:
    void runs_a_bound_request_only_once() {
        const auto request = make_bound_request();
        const auto upstream_request =
            only_upstream_message(send_request(request));
        CPPUNIT_ASSERT(!upstream_request.find(options::echo));
        CPPUNIT_ASSERT(send_request(request).empty());
        const auto first = only_reply(send_upstream_message(
            make_upstream_response(upstream_request, codes::changed)));
        CPPUNIT_ASSERT_EQUAL(request.id, first.id);
        CPPUNIT_ASSERT(only_reply(send_request(request)) == first);
        // A late duplicate of the response, and a duplicate of the request
        // after the binding has expired.
        CPPUNIT_ASSERT(
            send_upstream_message(
                make_upstream_response(upstream_request, codes::changed))
                .empty());
        now_ += 301s;
        broker_.on_tick(now_);
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout,
                             only_reply(send_request(request)).code);
    }

    void reports_unknown_outcome_for_binding_of_other_incarnation() {
        auto request = make_request(codes::post);
        request.add(
            options::echo,
            encode_binding(
                {process_id(1), incarnation(6), session_id(1), 0, 10}, {}));
        const auto answer = only_reply(send_request(request));
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout, answer.code);
        CPPUNIT_ASSERT_EQUAL(std::string(unknown_payload),
                             payload_text(answer));
        CPPUNIT_ASSERT(answer.find(options::echo));
    }

    void forwards_request_bound_to_another_host() {
        auto request = make_request(codes::post);
        request.add(
            options::echo,
            encode_binding(
                {process_id(2), incarnation(7), session_id(1), 0, 10}, {}));
        const auto forwarded =
            select_actions<forward_datagram>(send_request(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.size());
        CPPUNIT_ASSERT(forwarded.front().host == process_id(2));
        auto options = make_options();
        options.is_down = [](process_id) { return true; };
        request_broker alone(options);
        CPPUNIT_ASSERT_EQUAL(
            codes::gateway_timeout,
            only_reply(alone.on_client(first_flow, serialise(request), now_))
                .code);
    }

    void revokes_bindings_if_dedup_table_is_full() {
        auto options = make_options();
        options.max_dedup = 0;
        request_broker full(options);
        auto request = make_request(codes::post);
        const auto unbound =
            only_reply(full.on_client(first_flow, serialise(request), now_));
        request.add(options::echo, unbound.find(options::echo)->value);
        const auto rejected =
            only_reply(full.on_client(first_flow, serialise(request), now_));
        CPPUNIT_ASSERT_EQUAL(std::string(not_run_payload),
                             payload_text(rejected));
        CPPUNIT_ASSERT_EQUAL(
            codes::gateway_timeout,
            only_reply(full.on_client(first_flow, serialise(request), now_))
                .code);
    }

    void cancels_queued_and_running_requests() {
        const auto running = make_bound_request();
        const auto upstream_request =
            only_upstream_message(send_request(running));
        only_upstream_message(send_request(make_request(codes::get)));
        const auto queued = make_bound_request();
        CPPUNIT_ASSERT(send_request(queued).empty());
        const auto rejected =
            only_reply(send_request(make_empty(coap_type::reset, queued.id)));
        CPPUNIT_ASSERT_EQUAL(std::string(not_run_payload),
                             payload_text(rejected));
        CPPUNIT_ASSERT(only_reply(send_request(queued)) == rejected);
        const auto cancelled =
            send_request(make_empty(coap_type::reset, running.id));
        CPPUNIT_ASSERT_EQUAL(codes::gateway_timeout,
                             only_reply(cancelled).code);
        CPPUNIT_ASSERT(only_upstream_message(cancelled) ==
                       make_empty(coap_type::reset, upstream_request.id));
    }

    void retransmits_notifications_through_another_entry() {
        auto request = make_request(codes::get);
        request.add_uint(options::observe, 0);
        const auto upstream_request = start_observation(request);
        auto change = make_upstream_response(upstream_request, codes::content);
        change.type = coap_type::non_confirmable;
        change.add_uint(options::observe, 2);
        const auto sent = only_reply(send_upstream_message(change));
        CPPUNIT_ASSERT(sent.type == coap_type::confirmable);
        CPPUNIT_ASSERT(sent.token == request.token);
        now_ += 3s;
        const auto again = select_actions<reply>(broker_.on_tick(now_));
        CPPUNIT_ASSERT(again.size() == 1 && again.front().retransmission);
        send_request(make_empty(coap_type::acknowledgement, sent.id));
        now_ += 1h;
        CPPUNIT_ASSERT(broker_.on_tick(now_).empty());
        now_ += 24h;
        const auto daily = only_reply(broker_.on_tick(now_));
        CPPUNIT_ASSERT(daily.payload == sent.payload && daily.id != sent.id);
        const auto ended = send_request(make_empty(coap_type::reset, daily.id));
        CPPUNIT_ASSERT(only_upstream_message(ended) ==
                       make_empty(coap_type::reset, upstream_request.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broker_.sessions());
    }

    void migrates_session_to_new_flow_by_its_binding() {
        const auto request = make_bound_request();
        const auto actions = send_request(request, second_flow);
        const auto moved = select_actions<migrate_flow>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.size());
        CPPUNIT_ASSERT(moved.front().from == first_flow &&
                       moved.front().to == second_flow);
        // A late copy from the old port does not move the session back.
        CPPUNIT_ASSERT(
            select_actions<migrate_flow>(send_request(request)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, broker_.sessions());
    }

    void retries_shed_reads_at_other_hosts_but_not_writes() {
        const auto write = make_bound_request();
        auto shed = make_upstream_response(
            only_upstream_message(send_request(write)), codes::unavailable);
        shed.add_uint(options::max_age, 5);
        shed.payload = to_bytes(not_run_payload);
        const auto forwarded = only_reply(send_upstream_message(shed));
        CPPUNIT_ASSERT_EQUAL(5U, *forwarded.find_uint(options::max_age));
        CPPUNIT_ASSERT(payload_text(forwarded) != not_run_payload);
        // Ten first attempts earn one retry.
        std::size_t retries = 0;
        for (int i = 0; i < 10; ++i) {
            const auto upstream_request =
                only_upstream_message(send_request(make_request(codes::get)));
            send_upstream_message(
                make_upstream_response(upstream_request, codes::unavailable));
            now_ += 100ms;
            for (const auto& it :
                 select_actions<execute_remotely>(broker_.on_tick(now_))) {
                ++retries;
                const auto answer = broker_.on_remote_response(
                    it.exchange,
                    serialise(make_response(codes::content, "other")), now_);
                CPPUNIT_ASSERT_EQUAL(std::string("other"),
                                     payload_text(only_reply(answer)));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retries);
    }

    void fails_block_transfer_if_etag_changes() {
        std::vector<std::uint8_t> codes_seen;
        for (std::uint32_t n = 0; n < 2; ++n) {
            auto request = make_request(codes::get);
            request.payload.clear();
            set_block(request, options::block2, {n, false, 2});
            auto answer = make_upstream_response(
                only_upstream_message(send_request(request)), codes::content);
            answer.add_uint(options::etag, 100 + n);
            set_block(answer, options::block2, {n, true, 2});
            codes_seen.push_back(
                only_reply(send_upstream_message(answer)).code);
        }
        CPPUNIT_ASSERT_EQUAL(codes::content, codes_seen[0]);
        CPPUNIT_ASSERT_EQUAL(codes::incomplete, codes_seen[1]);
    }

    void closes_sessions_after_drain_deadline() {
        const auto request = make_bound_request();
        const auto upstream_request =
            only_upstream_message(send_request(request));
        broker_.drain(now_ + 1s);
        now_ += 2s;
        CPPUNIT_ASSERT(
            select_actions<release_flow>(broker_.on_tick(now_)).empty());
        CPPUNIT_ASSERT_EQUAL(
            codes::changed,
            only_reply(send_upstream_message(make_upstream_response(
                           upstream_request, codes::changed)))
                .code);
        const auto end = broker_.on_tick(now_);
        const auto notice = only_reply(end);
        CPPUNIT_ASSERT_EQUAL(codes::unavailable, notice.code);
        CPPUNIT_ASSERT_EQUAL(0U, *notice.find_uint(options::max_age));
        CPPUNIT_ASSERT(select_actions<release_flow>(end).front().flow ==
                       first_flow);
        CPPUNIT_ASSERT(broker_.is_drained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_broker_test);

} // namespace arbutusport::requests
