// Checks how a directory gets from one entry to another: what is sent for a
// change, at which rate, what is repeated, and how parts are put together.

#include <arbutusport/relay/directory_receiver.hpp>
#include <arbutusport/relay/directory_sender.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
constexpr duration tick = milliseconds(10);
constexpr machine_address reader{0x0a000001};
constexpr machine_address follower{0x0a000002};
constexpr machine_address other{0x0a000003};
constexpr double narrow_budget = 312'500;

route make_route(std::uint32_t n) {
    return {.address = {0xc6120000 + n, 443}, .targets = {{service_id(1), 1}}};
}

// A reader's directory, its sender, and what was sent.
class sending_entry {
public:
    explicit sending_entry(std::size_t routes, double bytes_per_second = 31e6)
        : sender_(
              {.budget = {.bytes_per_second = bytes_per_second,
                          .burst = milliseconds(50)}},
              [this](machine_address to, const message& it) {
                  sent_.emplace_back(to, it);
              },
              [](const event&) {}) {
        for (std::size_t i = 0; i < routes; ++i)
            document_.routes.push_back(
                make_route(static_cast<std::uint32_t>(i)));
        publish();
    }

    // The next version of the configuration.
    void publish() {
        ++document_.version;
        known_.adopt_listing(revision(++revision_),
                             {{revision(revision_), document_}}, now);
    }

    void add_route() {
        document_.routes.push_back(make_route(
            static_cast<std::uint32_t>(10'000 + document_.routes.size())));
        publish();
    }

    // What the recipients, which have the contents of `base`, get in the time.
    std::vector<std::pair<machine_address, message>>
    push(duration time, const directory& base, bool confirms = true,
         std::vector<machine_address> to = {follower}) {
        sent_.clear();
        std::vector<directory_sender::recipient> recipients;
        for (const machine_address it : to)
            recipients.push_back({.machine = it,
                                  .as_of = base.as_of(),
                                  .digest = base.digest(),
                                  .confirms = confirms});
        for (const time_point end = now + time; now < end; now += tick) {
            sender_.push(known_, recipients, now);
            sender_.on_tick(now);
        }
        return sent_;
    }

    directory_sender& sender() { return sender_; }
    const directory& known() const { return known_; }
    std::vector<std::pair<machine_address, message>> take_sent() {
        return std::exchange(sent_, {});
    }

    time_point now = start;

private:
    routing_document document_;
    directory known_;
    std::uint64_t revision_ = 1;
    std::vector<std::pair<machine_address, message>> sent_;
    directory_sender sender_;
};

std::vector<directory_part>
parts_of(const std::vector<std::pair<machine_address, message>>& sent,
         machine_address to = follower) {
    std::vector<directory_part> out;
    for (const auto& [machine, it] : sent)
        if (const auto* part = std::get_if<directory_part>(&it);
            part != nullptr && machine == to)
            out.push_back(*part);
    return out;
}

// A receiver and the requests that it sends.
class receiving_entry {
public:
    receiving_entry()
        : receiver(
              {},
              [this](machine_address, const message& it) {
                  requests.push_back(std::get<directory_part_request>(it));
              },
              [](const event&) {}) {}

    std::vector<directory_part_request> requests;
    directory_receiver receiver;
};

} // namespace

class directory_transfer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_transfer_test);
    CPPUNIT_TEST(a_change_of_routes_is_one_datagram);
    CPPUNIT_TEST(a_change_is_repeated_until_it_is_confirmed);
    CPPUNIT_TEST(repetitions_end);
    CPPUNIT_TEST(a_recipient_that_is_ahead_gets_nothing);
    CPPUNIT_TEST(an_unknown_base_gets_the_whole_directory);
    CPPUNIT_TEST(recipients_of_earlier_builds_get_no_change_of_routes);
    CPPUNIT_TEST(whole_directories_keep_to_the_send_limit);
    CPPUNIT_TEST(a_transfer_that_has_begun_is_completed);
    CPPUNIT_TEST(missing_parts_are_requested_and_sent_again);
    CPPUNIT_TEST(parts_of_a_complete_directory_are_not_requested_again);
    CPPUNIT_TEST(an_outdated_transfer_is_given_up);
    CPPUNIT_TEST(requests_that_match_no_directory_get_the_latest);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_change_of_routes_is_one_datagram() {
        sending_entry it(1640);
        const directory base = it.known();
        it.push(milliseconds(50), base);
        it.add_route();
        const auto sent = it.push(milliseconds(100), base);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT(encode(sent[0].second).size() <= max_part_bytes);
        directory adopted = base;
        CPPUNIT_ASSERT(adopted.adopt_delta(
            std::get<directory_delta>(sent[0].second), it.now));
        CPPUNIT_ASSERT_EQUAL(it.known().digest(), adopted.digest());
        CPPUNIT_ASSERT(adopted.as_of() == it.known().as_of());
    }

    void a_change_is_repeated_until_it_is_confirmed() {
        sending_entry it(10);
        const directory base = it.known();
        it.push(milliseconds(50), base);
        it.add_route();
        CPPUNIT_ASSERT(it.push(seconds(1), base).size() >= 3);
        CPPUNIT_ASSERT(it.push(seconds(1), it.known()).empty());
    }

    // An entry that has ended is not sent changes for good.
    void repetitions_end() {
        sending_entry it(10);
        const directory base = it.known();
        it.push(milliseconds(50), base);
        it.add_route();
        it.push(seconds(10), base);
        CPPUNIT_ASSERT(it.push(seconds(10), base).empty());
    }

    // An entry may have learned from another data centre what the reader has
    // not read yet.
    void a_recipient_that_is_ahead_gets_nothing() {
        sending_entry it(10);
        it.push(milliseconds(50), it.known());
        directory ahead = it.known();
        ahead.adopt_listing(revision(100),
                            {{revision(99), host_record{.key = host_key(1)}}},
                            it.now);
        CPPUNIT_ASSERT(it.push(seconds(2), ahead).empty());
    }

    void an_unknown_base_gets_the_whole_directory() {
        sending_entry it(1640);
        const auto parts = parts_of(it.push(seconds(1), directory()));
        CPPUNIT_ASSERT(!parts.empty());
        receiving_entry to;
        std::optional<directory_view> view;
        for (const directory_part& part : parts)
            if (auto found = to.receiver.on_part(reader, part, it.now))
                view = std::move(found);
        directory adopted;
        CPPUNIT_ASSERT(view && adopted.adopt_view(*view, it.now));
        CPPUNIT_ASSERT_EQUAL(it.known().digest(), adopted.digest());
    }

    void recipients_of_earlier_builds_get_no_change_of_routes() {
        sending_entry it(10);
        const directory base = it.known();
        it.push(milliseconds(50), base, false);
        it.add_route();
        for (const auto& [to, sent] : it.push(seconds(2), base, false))
            CPPUNIT_ASSERT(std::holds_alternative<directory_part>(sent));
    }

    // A push was a burst of all parts to all entries, whose end a link of 10
    // Mbit/s lost (issue 39).
    void whole_directories_keep_to_the_send_limit() {
        sending_entry it(1640, narrow_budget);
        constexpr duration time = milliseconds(100);
        std::size_t byte_count = 0;
        for (const auto& [to, sent] :
             it.push(time, directory(), true, {follower, other}))
            byte_count += encode(sent).size();
        const double limit =
            narrow_budget *
            std::chrono::duration<double>(time + milliseconds(50)).count();
        CPPUNIT_ASSERT(byte_count > limit / 2);
        CPPUNIT_ASSERT(byte_count <= limit);
    }

    // Each version discarded what had arrived of the one before it, so that a
    // series of versions left entries without any (issue 39).
    void a_transfer_that_has_begun_is_completed() {
        sending_entry it(1640, narrow_budget);
        receiving_entry to;
        bool is_complete = false;
        for (int i = 0; i < 10; ++i) {
            for (const directory_part& part :
                 parts_of(it.push(milliseconds(50), directory())))
                is_complete |=
                    to.receiver.on_part(reader, part, it.now).has_value();
            it.add_route();
        }
        CPPUNIT_ASSERT(is_complete);
    }

    void missing_parts_are_requested_and_sent_again() {
        sending_entry it(1640);
        auto parts = parts_of(it.push(milliseconds(50), directory()));
        CPPUNIT_ASSERT(parts.size() > 10);
        receiving_entry to;
        for (std::size_t i = 0; i < parts.size(); ++i)
            if (i % 4 != 0)
                to.receiver.on_part(reader, parts[i], it.now);
        to.receiver.on_tick(directory(), it.now + milliseconds(20));
        CPPUNIT_ASSERT(to.requests.empty());
        CPPUNIT_ASSERT(to.receiver.is_receiving());
        it.now += milliseconds(100);
        to.receiver.on_tick(directory(), it.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to.requests.size());
        CPPUNIT_ASSERT_EQUAL((parts.size() + 3) / 4,
                             to.requests[0].missing.size());
        // The directory has changed since.
        it.add_route();
        it.take_sent();
        it.sender().on_part_request(follower, to.requests[0], it.known(),
                                    it.now);
        parts = parts_of(it.take_sent());
        CPPUNIT_ASSERT_EQUAL(to.requests[0].missing.size(), parts.size());
        bool is_complete = false;
        for (const directory_part& part : parts)
            is_complete |=
                to.receiver.on_part(reader, part, it.now).has_value();
        CPPUNIT_ASSERT(is_complete);
        CPPUNIT_ASSERT(!to.receiver.is_receiving());
    }

    void parts_of_a_complete_directory_are_not_requested_again() {
        sending_entry it(1640);
        const auto parts = parts_of(it.push(milliseconds(50), directory()));
        receiving_entry to;
        for (const directory_part& part : parts)
            to.receiver.on_part(reader, part, it.now);
        to.receiver.on_part(reader, parts.front(), it.now);
        CPPUNIT_ASSERT(!to.receiver.is_receiving());
        to.receiver.on_tick(directory(), it.now + seconds(1));
        CPPUNIT_ASSERT(to.requests.empty());
    }

    // The rest of a directory is not requested once a newer one is known, nor
    // for good from an entry that has ended.
    void an_outdated_transfer_is_given_up() {
        sending_entry it(1640);
        const auto parts = parts_of(it.push(milliseconds(50), directory()));
        receiving_entry to;
        to.receiver.on_part(reader, parts.front(), it.now);
        to.receiver.on_tick(it.known(), it.now + seconds(1));
        CPPUNIT_ASSERT(to.requests.empty());
        CPPUNIT_ASSERT(!to.receiver.is_receiving());
        to.receiver.on_part(reader, parts.front(), it.now);
        for (int i = 0; i < 100; ++i)
            to.receiver.on_tick(directory(), it.now += milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(directory_receiver_options{}.max_unanswered,
                             to.requests.size());
        CPPUNIT_ASSERT(!to.receiver.is_receiving());
    }

    void requests_that_match_no_directory_get_the_latest() {
        sending_entry it(100);
        for (const std::uint16_t count : {0, 1, 3}) {
            it.sender().on_part_request(follower,
                                        {.as_of = revision(7),
                                         .digest = 8,
                                         .count = count,
                                         .missing = {0, 9, 65535}},
                                        it.known(), it.now += seconds(1));
            const auto parts = parts_of(it.take_sent());
            CPPUNIT_ASSERT(!parts.empty());
            CPPUNIT_ASSERT_EQUAL(it.known().digest(), parts.front().digest);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_transfer_test);

} // namespace arbutusport::relay
