// Checks the messages between relay processes: no field is lost by encoding
// and decoding, and no corrupt or malicious datagram is accepted or crashes a
// process.

#include <arbutusport/relay/messages.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace arbutusport::relay {

namespace {

const flow_key flow{{0x64400007, 40001}, {0xc6120001, 443}};

bool accepts(byte_view data) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(decode(data));
            return true;
        },
        [](const failure&) { return false; });
}

constexpr store_era later_era{3};

directory_view::host make_host(store_era era = first_era) {
    return {revision(8, era),
            {.key = host_key(5),
             .service = service_id(1),
             .address = {0x0a01000c, 8080},
             .data_centre = data_centre_id(6),
             .draining = true,
             .slots = 2,
             .warmup_left = std::chrono::milliseconds(900),
             .started = unix_milliseconds(77)}};
}

std::vector<message> one_message_of_each_type() {
    return {
        hello{.run = incarnation(1),
              .data_centre = data_centre_id(2),
              .idle_timeout = std::chrono::seconds(15),
              .registered = registration::draining,
              .host_started = unix_milliseconds(5),
              .wants_flows = true},
        load_report{.run = incarnation(3),
                    .service = service_tag(4),
                    .host = host_state::listener_closed,
                    .outstanding = 5,
                    .busy_milli = 1500,
                    .flows = 6,
                    .entries = {machine_address(7)}},
        owned_flows{1, 2, {{flow, 8, 9}}},
        flow_query{{flow}},
        flow_denial{.not_owned = {flow}, .uncertain = {flow, flow}},
        packet_returned{return_reason::wrong_service, {1, 2, 3}},
        peer_hello{.run = incarnation(10),
                   .as_of = revision(11),
                   .digest = 12,
                   .entries = {machine_address(13)},
                   .departed = {{machine_address(14), service_tag(15)}}},
        peer_hello{.run = incarnation(10),
                   .reads_store = true,
                   .reader = reader_announcement{machine_address(19),
                                                 incarnation(20), 21},
                   .knows_departed = true},
        directory_request{},
        directory_part{.as_of = revision(16),
                       .digest = 17,
                       .index = 1,
                       .count = 2,
                       .content = {18}},
        directory_delta{.as_of = revision(22),
                        .base_digest = 23,
                        .digest = 24,
                        .changed = {make_host()},
                        .removed = {host_key(25)}},
        peer_hello{.run = incarnation(10),
                   .as_of = revision(11, later_era),
                   .reader = reader_announcement{},
                   .version = 26},
        directory_part{
            .as_of = revision(16, later_era), .count = 1, .content = {18}},
        directory_delta{.as_of = revision(22, later_era),
                        .changed = {make_host(), make_host(later_era)}},
        barrier_request{27},
        barrier_reply{.id = 28, .as_of = revision(29), .digest = 30},
        barrier_reply{.id = 28, .as_of = revision(29, later_era), .digest = 30},
        hello{.run = incarnation(1), .wants_work = true},
        hello{.run = incarnation(1),
              .wants_work = true,
              .directive = host_directive{.as_of = revision(31, later_era),
                                          .evacuated = true,
                                          .openings_per_second = 12.5,
                                          .cold_left = std::chrono::seconds(2),
                                          .warmup = std::chrono::seconds(9)}},
        load_report{.run = incarnation(3),
                    .entries = {machine_address(7)},
                    .work = host_work{.backlog_us = 32,
                                      .service_us = 33,
                                      .service_high_us = 34,
                                      .requests_milli_per_second = 35,
                                      .opening_room = 36}},
        operator_intent{
            .as_of = revision(37),
            .version = 38,
            .evacuations = {{data_centre_id(39), revision(40, later_era)}},
            .ended = {{data_centre_id(42), revision(43, later_era)}},
            .warmup_limits = {{service_id(41), std::chrono::seconds(2), 7.5}}},
        directory_delta{.as_of = revision(44),
                        .changed = {make_host()},
                        .wants_position = true},
        directory_delta{
            .as_of = revision(44, later_era),
            .changed = {make_host(later_era)},
            .removed = {host_key(45)},
            .routing =
                routing_delta{.at = revision(46),
                              .version = 47,
                              .idle_timeout = std::chrono::seconds(48),
                              .changed = {{.address = {49, 50},
                                           .targets = {{service_id(51), 52}}}},
                              .removed = {{53, 54}}},
            .wants_position = true},
        directory_position{incarnation(55), revision(56, later_era), 57},
        directory_part_request{revision(58, later_era), 59, 60, {61, 62}}};
}

// Whether the process of a build that knows no eras accepts the message.
bool has_type_without_era(const message& it) {
    constexpr std::uint8_t last_type_without_era = 11;
    return encode(it).front() <= last_type_without_era;
}

directory_view make_view() {
    directory_view it{.as_of = revision(9), .routing_at = revision(7)};
    it.routing.version = 3;
    it.routing.routes.push_back(
        {flow.service, {{service_id(1), 90}, {service_id(2), 10}}});
    it.hosts.push_back(make_host());
    return it;
}

} // namespace

class relay_messages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_messages_test);
    CPPUNIT_TEST(encoding_round_trips);
    CPPUNIT_TEST(rejects_truncated_and_extended_messages);
    CPPUNIT_TEST(random_bytes_do_not_crash_decoding);
    CPPUNIT_TEST(directory_view_round_trips);
    CPPUNIT_TEST(directory_view_of_a_later_era_round_trips);
    CPPUNIT_TEST(messages_of_the_first_era_are_unchanged);
    CPPUNIT_TEST(messages_of_later_eras_have_types_of_their_own);
    CPPUNIT_TEST(era_zero_round_trips);
    CPPUNIT_TEST(rejects_the_first_era_in_messages_of_later_eras);
    CPPUNIT_TEST_SUITE_END();

public:
    void encoding_round_trips() {
        for (const message& it : one_message_of_each_type()) {
            const bytes data = encode(it);
            const bytes again = handle_failure(
                [&]() -> result<bytes> {
                    BOOST_LEAF_AUTO(back, decode(data));
                    return encode(back);
                },
                [](const failure&) { return bytes(); });
            CPPUNIT_ASSERT(data == again);
        }
    }

    void rejects_truncated_and_extended_messages() {
        for (const message& it : one_message_of_each_type()) {
            bytes data = encode(it);
            // These messages end with a variable number of bytes.
            const bool open_ended =
                std::holds_alternative<packet_returned>(it) ||
                std::holds_alternative<directory_part>(it);
            if (open_ended)
                continue;
            for (std::size_t n = 0; n < data.size(); ++n)
                CPPUNIT_ASSERT(!accepts(byte_view(data).first(n)));
            data.push_back(0);
            CPPUNIT_ASSERT(!accepts(data));
        }
    }

    void random_bytes_do_not_crash_decoding() {
        CPPUNIT_ASSERT(rc::check([](const bytes& noise) {
            accepts(noise);
            handle_failure(
                [&]() -> result<void> {
                    BOOST_LEAF_CHECK(decode_view(noise, store_era(2)));
                    return {};
                },
                [](const failure&) {});
        }));
    }

    void directory_view_round_trips() { check_round_trip(make_view()); }

    void directory_view_of_a_later_era_round_trips() {
        directory_view view = make_view();
        view.as_of = revision(9, later_era);
        view.hosts.push_back(make_host(later_era));
        check_round_trip(view);
    }

    // Guards against processes of the previous build that drop messages while
    // a release is rolled out.
    void messages_of_the_first_era_are_unchanged() {
        const bytes delta = encode(directory_delta{
            .as_of = revision(0x0102), .base_digest = 3, .digest = 4});
        const bytes expected{11, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0,
                             0,  3, 0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0};
        CPPUNIT_ASSERT(delta == expected);
        const bytes part = encode(directory_part{
            .as_of = revision(5), .digest = 6, .index = 7, .count = 8});
        const bytes expected_part{9, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0,
                                  0, 0, 0, 0, 0, 6, 0, 7, 0, 8};
        CPPUNIT_ASSERT(part == expected_part);
        CPPUNIT_ASSERT(has_type_without_era(
            peer_hello{.reader = reader_announcement{}, .version = 9}));
    }

    // Guards against processes of the previous build that mistake a restored
    // store's directory for an old one, or an old one for the newest.
    void messages_of_later_eras_have_types_of_their_own() {
        CPPUNIT_ASSERT(!has_type_without_era(
            directory_delta{.as_of = revision(1, later_era)}));
        CPPUNIT_ASSERT(!has_type_without_era(
            directory_part{.as_of = revision(1, later_era)}));
        CPPUNIT_ASSERT(!has_type_without_era(peer_hello{
            .as_of = revision(1, later_era), .reader = reader_announcement{}}));
    }

    // A store may count its eras from 0.
    void era_zero_round_trips() {
        directory_view view = make_view();
        view.as_of = revision(9, store_era(0));
        check_round_trip(view);
        const bytes data =
            encode(directory_part{.as_of = revision(1, store_era(0))});
        CPPUNIT_ASSERT(accepts(data));
    }

    void rejects_the_first_era_in_messages_of_later_eras() {
        bytes data = encode(directory_part{.as_of = revision(1, later_era)});
        constexpr std::size_t last_byte_of_era = 8;
        data[last_byte_of_era] = 1;
        CPPUNIT_ASSERT(!accepts(data));
    }

private:
    static void check_round_trip(const directory_view& view) {
        const bytes data = encode_view(view);
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(back, decode_view(data, view.as_of.era()));
                CPPUNIT_ASSERT(back.as_of == view.as_of);
                CPPUNIT_ASSERT(back.routing.routes == view.routing.routes);
                CPPUNIT_ASSERT(back.routing_at == view.routing_at);
                CPPUNIT_ASSERT_EQUAL(view.hosts.size(), back.hosts.size());
                for (std::size_t i = 0; i < view.hosts.size(); ++i) {
                    CPPUNIT_ASSERT(back.hosts[i].at == view.hosts[i].at);
                    CPPUNIT_ASSERT(back.hosts[i].record ==
                                   view.hosts[i].record);
                }
                return {};
            },
            [](const failure& it) { CPPUNIT_FAIL(it.reason); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_messages_test);

} // namespace arbutusport::relay
