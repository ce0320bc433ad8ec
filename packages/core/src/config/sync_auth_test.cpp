// Guards against adopting a set from forged, altered, replayed or untagged
// messages, and against refusing genuine messages while keys change.

#include "sync_envelope.hpp"

#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/parse.hpp>
#include <arbutusport/wire/make_keyring.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::config {

namespace {

using namespace std::chrono_literals;

constexpr endpoint seed{1, 1};
constexpr endpoint unknown_peer{1, 2};

struct test_key {
    int id;
    const char* state;
};

records::snapshot_ptr make_set(std::uint64_t revision,
                               const std::vector<test_key>& keys) {
    std::string list;
    for (const test_key& it : keys)
        list += (list.empty() ? R"({"id":)" : R"(,{"id":)") +
                std::to_string(it.id) + R"(,"secret":")" +
                std::string(32, static_cast<char>('0' + it.id)) +
                R"(","state":")" + it.state + R"("})";
    return records::build_snapshot(
               {1, revision},
               {{"fleet/main",
                 R"({"schema":2,"kind":"fleet","name":"main","epoch":1})", 1},
                {"keys/packets",
                 R"({"schema":2,"kind":"keys","name":"packets","keys":[)" +
                     list + "]}",
                 revision}})
        .value();
}

records::snapshot_ptr make_set(std::uint64_t revision) {
    return make_set(revision, {{1, "active"}});
}

sync_message make_full_message(const records::snapshot_ptr& set) {
    const auto delta = records::make_full_delta(*set);
    return {set->gen, delta.digest, true, delta, {}};
}

std::unique_ptr<config_sync> make_new_process() {
    return std::make_unique<config_sync>(sync_options{
        .self = process_id(1), .data_centre = "poa-a", .seeds = {seed}});
}

// Returns the request to the seed, which is sent in the first tick.
send_sync_request first_request(config_sync& sync, time_point now) {
    for (const sync_action& action : sync.on_tick(now))
        if (const auto* request = std::get_if<send_sync_request>(&action))
            return *request;
    CPPUNIT_FAIL("no request");
    return {};
}

std::uint64_t nonce_of(byte_view request) {
    return decode_sync(request).value().nonce;
}

// Returns an object that has read `set` from the platform and put it in force.
std::unique_ptr<config_sync> make_started(const records::snapshot_ptr& set,
                                          time_point now) {
    auto sync = std::make_unique<config_sync>(
        sync_options{.self = process_id(1), .data_centre = "poa-a"});
    sync->on_tick(now);
    head listed{set->gen, {}};
    for (const auto& record : set->raw_records)
        listed.records.push_back({record.key, record.revision});
    sync->on_head(listed, now);
    sync->on_tick(now);
    sync->on_records(set->raw_records, now);
    CPPUNIT_ASSERT(sync->current() && sync->current()->gen == set->gen);
    return sync;
}

bytes seal(const sync_message& it, const records::snapshot_ptr& keys_of) {
    return seal_sync(it, sync_direction::request,
                     *wire::make_keyring(keys_of->keys));
}

} // namespace

class sync_auth_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sync_auth_test);
    CPPUNIT_TEST(ignores_sets_without_a_valid_tag);
    CPPUNIT_TEST(an_altered_message_is_ignored);
    CPPUNIT_TEST(a_reply_with_another_nonce_is_ignored);
    CPPUNIT_TEST(an_untagged_request_receives_the_set);
    CPPUNIT_TEST(a_new_process_accepts_untagged_replies_of_seeds_only);
    CPPUNIT_TEST(an_implausible_revision_is_refused);
    CPPUNIT_TEST(messages_are_accepted_during_a_key_change);
    CPPUNIT_TEST_SUITE_END();

public:
    void ignores_sets_without_a_valid_tag() {
        const auto sync = make_started(make_set(1), {});
        const auto forged_keys = make_set(1, {{2, "active"}});
        const auto same_id = make_set(2);
        wire::keyring wrong;
        wrong.add(key_id(1), {0xde, 0xad}, true);
        for (const bytes& message :
             {encode_sync(make_full_message(same_id)),
              seal(make_full_message(same_id), forged_keys),
              seal_sync(make_full_message(same_id), sync_direction::request,
                        wrong),
              seal_sync(make_full_message(same_id), sync_direction::reply,
                        *wire::make_keyring(same_id->keys))})
            CPPUNIT_ASSERT(sync->on_request(message, {}).actions.empty());
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
        sync->on_request(seal(make_full_message(same_id), same_id), {});
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 2}));
    }

    void an_altered_message_is_ignored() {
        const auto sync = make_started(make_set(1), {});
        const bytes good = seal(make_full_message(make_set(2)), make_set(1));
        for (std::size_t n = 0; n < good.size(); ++n) {
            bytes altered = good;
            altered[n] ^= 0x10;
            sync->on_request(altered, {});
            CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
        }
    }

    // Guards against replayed replies: without a check of the nonce, a recorded
    // reply would be accepted for a later request.
    void a_reply_with_another_nonce_is_ignored() {
        const auto set = make_set(1);
        const auto new_process = make_new_process();
        const auto request = first_request(*new_process, {});
        sync_message reply = make_full_message(set);
        reply.nonce = nonce_of(request.request) + 2;
        new_process->on_reply(seed, encode_sync(reply), {});
        new_process->on_tick(time_point(10s));
        CPPUNIT_ASSERT(!new_process->current());
    }

    void an_untagged_request_receives_the_set() {
        const auto sync = make_started(make_set(4), {});
        sync_message request;
        request.wants_delta = true;
        request.nonce = 77;
        const auto answer = sync->on_request(encode_sync(request), {});
        CPPUNIT_ASSERT(answer.actions.empty());
        const auto reply = decode_sync(answer.reply).value();
        CPPUNIT_ASSERT(reply.delta && reply.nonce == 77);
        CPPUNIT_ASSERT((reply.gen == generation{1, 4}));
    }

    void a_new_process_accepts_untagged_replies_of_seeds_only() {
        const auto adopts_reply_from = [](const endpoint& peer) {
            const auto sync = make_new_process();
            sync_message reply = make_full_message(make_set(4));
            reply.nonce = nonce_of(first_request(*sync, {}).request);
            sync->on_reply(peer, encode_sync(reply), {});
            // Outstanding requests time out.
            for (auto now = time_point(); now < time_point(12s); now += 100ms)
                sync->on_tick(now);
            return sync->current() != nullptr;
        };
        CPPUNIT_ASSERT(adopts_reply_from(seed));
        CPPUNIT_ASSERT(!adopts_reply_from(unknown_peer));
        const auto sync = make_new_process();
        sync->on_tick({});
        sync->on_request(encode_sync(make_full_message(make_set(4))), {});
        sync->on_tick(time_point(12s));
        CPPUNIT_ASSERT(!sync->current());
    }

    void an_implausible_revision_is_refused() {
        const auto sync = make_started(make_set(1), {});
        sync->on_request(
            seal(make_full_message(make_set(std::uint64_t{1} << 62)),
                 make_set(1)),
            {});
        CPPUNIT_ASSERT((sync->current()->gen == generation{1, 1}));
    }

    // Guards against rejected messages during a key change: processes at two
    // successive steps of the change run at the same time.
    void messages_are_accepted_during_a_key_change() {
        const std::vector<std::vector<test_key>> steps{
            {{1, "active"}},
            {{1, "active"}, {2, "accepted"}},
            {{1, "accepted"}, {2, "active"}},
            {{2, "active"}}};
        for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
            const auto older = make_set(i + 1, steps[i]);
            const auto newer = make_set(i + 2, steps[i + 1]);
            const auto at_newer = make_started(newer, {});
            const auto at_older = make_started(older, {});
            CPPUNIT_ASSERT(
                !at_newer->on_request(seal(make_full_message(older), older), {})
                     .reply.empty());
            CPPUNIT_ASSERT(
                !at_older->on_request(seal(make_full_message(newer), newer), {})
                     .reply.empty());
            CPPUNIT_ASSERT(at_older->current()->gen == newer->gen);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sync_auth_test);

} // namespace arbutusport::config
