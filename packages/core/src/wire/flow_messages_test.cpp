// Guards the decoders of the ownership messages against malformed input.

#include <arbutusport/wire/flow_messages.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

namespace arbutusport::wire {

namespace {

template <class Body>
bool accepts(result<Body> (*decode)(byte_view), byte_view data) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(decode(data));
            return true;
        },
        [](const failure&) { return false; });
}

// Checks that a wrong length and a wrong version are rejected.
template <class Body>
void check_length_and_version(const Body& body,
                              result<Body> (*decode)(byte_view)) {
    bytes buf = encode(body);
    CPPUNIT_ASSERT(accepts(decode, buf));
    for (std::size_t n = 0; n < buf.size(); ++n)
        CPPUNIT_ASSERT(!accepts(decode, byte_view(buf).first(n)));
    buf.push_back(0);
    CPPUNIT_ASSERT(!accepts(decode, buf));
    buf.pop_back();
    ++buf[0];
    CPPUNIT_ASSERT(!accepts(decode, buf));
}

query_reply_body make_reply() {
    query_reply_body it;
    it.claim = 7;
    it.status = ownership::redirects;
    it.permit = 9;
    it.flows = 11;
    it.weight = 2.5;
    it.eligible = false;
    it.draining = true;
    it.owner = {process_id(3), {4, 5}};
    return it;
}

} // namespace

class flow_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_messages_test);
    CPPUNIT_TEST(round_trip_keeps_every_field);
    CPPUNIT_TEST(rejects_wrong_lengths_and_versions);
    CPPUNIT_TEST(rejects_values_out_of_range);
    CPPUNIT_TEST(accepted_input_has_values_in_range);
    CPPUNIT_TEST_SUITE_END();

public:
    void round_trip_keeps_every_field() {
        const auto reply = decode_query_reply(encode(make_reply())).value();
        CPPUNIT_ASSERT(reply.claim == 7 && reply.permit == 9);
        CPPUNIT_ASSERT(reply.status == ownership::redirects);
        CPPUNIT_ASSERT(reply.flows == 11 && reply.weight == 2.5);
        CPPUNIT_ASSERT(!reply.eligible && reply.draining && reply.can_open);
        CPPUNIT_ASSERT(reply.owner == make_reply().owner);
        const auto query = decode_query(encode(query_body{5, 0.25})).value();
        CPPUNIT_ASSERT(query.claim == 5 && query.score == 0.25);
        const auto place = decode_place(encode(place_body{5, 6, true})).value();
        CPPUNIT_ASSERT(place.claim == 5 && place.permit == 6 &&
                       place.ignores_eligibility);
        holders_body sent{true, {1, 2}, 3, {4, 5}, {}};
        sent.slots.set(0).set(77).set(4095);
        const auto it = decode_holders(encode(sent)).value();
        CPPUNIT_ASSERT(it.is_reply && it.gen == sent.gen);
        CPPUNIT_ASSERT(it.hosts_digest == 3 &&
                       it.acknowledged_gen == sent.acknowledged_gen);
        CPPUNIT_ASSERT(it.slots == sent.slots);
    }

    void rejects_wrong_lengths_and_versions() {
        check_length_and_version(query_body{}, decode_query);
        check_length_and_version(make_reply(), decode_query_reply);
        check_length_and_version(place_body{}, decode_place);
        check_length_and_version(holders_body{}, decode_holders);
    }

    // With a weight of 0 or a score that is not a number, hosts could differ in
    // their comparison of loads or claims.
    void rejects_values_out_of_range() {
        const double nan = std::numeric_limits<double>::quiet_NaN();
        const double inf = std::numeric_limits<double>::infinity();
        for (const double score : {nan, inf, -1.0})
            CPPUNIT_ASSERT(
                !accepts(decode_query, encode(query_body{1, score})));
        for (const double weight : {nan, inf, -1.0, 0.0}) {
            auto reply = make_reply();
            reply.weight = weight;
            CPPUNIT_ASSERT(!accepts(decode_query_reply, encode(reply)));
        }
        auto reply = make_reply();
        reply.owner.packets.port = 0;
        CPPUNIT_ASSERT(!accepts(decode_query_reply, encode(reply)));
        reply = make_reply();
        reply.status = static_cast<ownership>(5);
        CPPUNIT_ASSERT(!accepts(decode_query_reply, encode(reply)));
    }

    void accepted_input_has_values_in_range() {
        CPPUNIT_ASSERT(rc::check([] {
            bytes buf = encode(make_reply());
            const auto changed_byte =
                *rc::gen::inRange<std::size_t>(0, buf.size());
            buf[changed_byte] = *rc::gen::arbitrary<std::uint8_t>();
            if (accepts(decode_query_reply, buf)) {
                const auto it = decode_query_reply(buf).value();
                RC_ASSERT(std::isfinite(it.weight) && it.weight > 0);
                RC_ASSERT(it.status <= ownership::refuses);
            }
            const auto noise = *rc::gen::arbitrary<bytes>();
            accepts(decode_query, noise);
            accepts(decode_place, noise);
            accepts(decode_holders, noise);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_messages_test);

} // namespace arbutusport::wire
