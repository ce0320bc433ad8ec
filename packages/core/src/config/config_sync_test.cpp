// Guards config_sync against adopting a wrong set: one read from the platform
// while its records change, or one in a stale, damaged or hostile message.

#include "sync_envelope.hpp"

#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/parse.hpp>
#include <arbutusport/wire/make_keyring.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace arbutusport::config {

namespace {

using namespace std::chrono_literals;

std::vector<records::raw_record> make_set(std::uint64_t revision) {
    return {{"fleet/main",
             R"({"schema":2,"kind":"fleet","name":"main","epoch":1})", 1},
            {"keys/packets",
             R"({"schema":2,"kind":"keys","name":"packets","keys":[{"id":1,)"
             R"("secret":"00112233445566778899aabbccddeeff",)"
             R"("state":"active"}]})",
             revision}};
}

head head_of(const std::vector<records::raw_record>& set, generation gen) {
    head it{gen, {}};
    for (const auto& record : set)
        it.records.push_back({record.key, record.revision});
    return it;
}

// Seals a request as a peer with the keys of make_set() does.
bytes seal_request(const sync_message& it) {
    const auto set = records::build_snapshot({1, 1}, make_set(1)).value();
    return seal_sync(it, sync_direction::request,
                     *wire::make_keyring(set->keys));
}

template <class Action>
std::size_t count(const sync_actions& list) {
    std::size_t n = 0;
    for (const sync_action& action : list)
        n += std::holds_alternative<Action>(action) ? 1 : 0;
    return n;
}

// Returns an object with generation 1.1 in force.
std::unique_ptr<config_sync> make_started(time_point now) {
    auto sync = std::make_unique<config_sync>(
        sync_options{.self = process_id(1), .data_centre = "poa-a"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<watch_head>(sync->on_tick(now)));
    sync->on_head(head_of(make_set(1), {1, 1}), now);
    sync->on_tick(now);
    sync->on_records(make_set(1), now);
    CPPUNIT_ASSERT(
        (sync->current() && sync->current()->gen == generation{1, 1}));
    return sync;
}

// Advances the time until the object reads the head, delivers `next` and
// returns the resulting read of records.
sync_actions begin_record_read(config_sync& sync, const head& next,
                               time_point& now) {
    while (count<watch_head>(sync.on_tick(now)) == 0)
        now += 1s;
    return sync.on_head(next, now);
}

} // namespace

class config_sync_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_sync_test);
    CPPUNIT_TEST(reads_only_changed_records);
    CPPUNIT_TEST(rereads_the_head_if_a_record_is_newer);
    CPPUNIT_TEST(retries_the_read_if_a_record_is_older);
    CPPUNIT_TEST(a_refused_generation_is_not_requested_again);
    CPPUNIT_TEST(an_older_generation_does_not_replace_a_newer_one);
    CPPUNIT_TEST(a_restored_platform_is_read_as_a_whole);
    CPPUNIT_TEST(decoder_refuses_malformed_messages);
    CPPUNIT_TEST(corrupted_messages_do_not_change_the_configuration);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_only_changed_records() {
        time_point now{};
        const auto sync = make_started(now);
        const auto list =
            begin_record_read(*sync, head_of(make_set(2), {1, 2}), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
        const auto keys = std::get<fetch_records>(list[0]).keys;
        CPPUNIT_ASSERT(keys == std::vector<std::string>{"keys/packets"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             count<configuration_in_force>(
                                 sync->on_records({make_set(2)[1]}, now)));
    }

    void rereads_the_head_if_a_record_is_newer() {
        time_point now{};
        const auto sync = make_started(now);
        begin_record_read(*sync, head_of(make_set(2), {1, 2}), now);
        const auto list = sync->on_records({make_set(3)[1]}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<watch_head>(list));
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
    }

    void retries_the_read_if_a_record_is_older() {
        time_point now{};
        const auto sync = make_started(now);
        begin_record_read(*sync, head_of(make_set(3), {1, 3}), now);
        CPPUNIT_ASSERT(sync->on_records({make_set(2)[1]}, now).empty());
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
        // It retries the read although it is no reader.
        now += 2s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             count<watch_head>(sync->on_tick(now)));
    }

    // Guards against repeated requests for a set that this process refuses, but
    // a peer of another version accepts.
    void a_refused_generation_is_not_requested_again() {
        time_point now{};
        const auto sync = make_started(now);
        auto set = make_set(2);
        set[1].json = "{}";
        const auto digest = records::compute_digest(set);
        const bytes message = seal_request(
            {{1, 2}, digest, false, {{{}, {1, 2}, digest, set, {}}}, {}});
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            count<generation_refused>(sync->on_request(message, now).actions));
        const auto again = sync->on_request(message, now);
        CPPUNIT_ASSERT(again.actions.empty());
        const auto set_1 = records::build_snapshot({1, 1}, make_set(1)).value();
        const auto reply = open_sync(again.reply, sync_direction::reply,
                                     *wire::make_keyring(set_1->keys))
                               .value();
        CPPUNIT_ASSERT(reply.is_authentic && !reply.message.wants_delta);
        CPPUNIT_ASSERT(sync->on_reply({1, 1}, message, now).empty());
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
    }

    void an_older_generation_does_not_replace_a_newer_one() {
        time_point now{};
        const auto sync = make_started(now);
        const auto send = [&](std::uint64_t revision) {
            const auto set =
                records::build_snapshot({1, revision}, make_set(revision))
                    .value();
            const auto delta = records::make_full_delta(*set);
            sync->on_request(
                seal_request({set->gen, delta.digest, true, delta, {}}), now);
        };
        send(3);
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 3}));
        send(2);
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 3}));
    }

    // Guards against a set mixed from two histories: a restored platform, whose
    // epoch was raised, uses a revision again for another record.
    void a_restored_platform_is_read_as_a_whole() {
        time_point now{};
        const auto sync = make_started(now);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            begin_record_read(*sync, head_of(make_set(5), {1, 5}), now).size());
        sync->on_records({make_set(5)[1]}, now);
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 5}));
        auto restored = make_set(1);
        restored[0].json =
            R"({"schema":2,"kind":"fleet","name":"main","epoch":2})";
        const auto list =
            begin_record_read(*sync, head_of(restored, {2, 2}), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             std::get<fetch_records>(list[0]).keys.size());
        sync->on_records(restored, now);
        CPPUNIT_ASSERT((sync->current()->gen == generation{2, 2}));
    }

    void decoder_refuses_malformed_messages() {
        const auto accepts = [](byte_view data) {
            return handle_failure(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(decode_sync(data));
                    return true;
                },
                [](const failure&) { return false; });
        };
        const auto set = records::build_snapshot({1, 1}, make_set(1)).value();
        sync_message message{
            {1, 1}, 7, true, records::make_full_delta(*set), {}};
        message.events.push_back({process_id(1), incarnation(2), 3});
        const bytes good = encode_sync(message);
        CPPUNIT_ASSERT(accepts(good));
        for (std::size_t n = 0; n < good.size(); ++n)
            CPPUNIT_ASSERT(!accepts(byte_view(good).first(n)));
        CPPUNIT_ASSERT(!accepts(bytes(17'000'000, 0x80)));
        CPPUNIT_ASSERT(!accepts(bytes(1'000'000, 0x81)));
    }

    void corrupted_messages_do_not_change_the_configuration() {
        const time_point now{};
        const auto set = records::build_snapshot({1, 2}, make_set(2)).value();
        auto delta = records::make_full_delta(*set);
        ++delta.digest; // a damaged set must not be adopted
        const bytes good =
            seal_request({{1, 2}, delta.digest, true, delta, {}});
        const bool ok = rc::check([&](const bytes& noise, std::size_t at) {
            const auto sync = make_started(now);
            bytes data = good;
            for (std::size_t i = 0; i < noise.size(); ++i)
                data[(at + i) % data.size()] ^= noise[i];
            for (const byte_view message :
                 {byte_view(noise), byte_view(data)}) {
                sync->on_request(message, now);
                sync->on_reply({1, 1}, message, now);
                RC_ASSERT((sync->current()->gen == generation{1, 1}));
            }
        });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_sync_test);

} // namespace arbutusport::config
