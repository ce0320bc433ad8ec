// Guards against accepting an invalid set of records, against deltas that yield
// another set than the sender's, and against diffs that hide a change.

#include <arbutusport/records/delta.hpp>
#include <arbutusport/records/diff.hpp>
#include <arbutusport/records/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace arbutusport::records {

namespace {

using nlohmann::json;

std::vector<raw_record> read_example(const std::string& organisation) {
    std::vector<raw_record> set;
    const std::filesystem::path dir = std::string(ARBUTUSPORT_SOURCE_DIR) +
                                      "/examples/records/" + organisation;
    for (const auto& file : std::filesystem::directory_iterator(dir)) {
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        std::string key = file.path().stem();
        key[key.find('.')] = '/';
        set.push_back({key, text.str(), 1});
    }
    std::ranges::sort(set, {}, &raw_record::key);
    return set;
}

raw_record& find(std::vector<raw_record>& set, const std::string& key) {
    return *std::ranges::find(set, key, &raw_record::key);
}

// Sets one JSON value in one record and increments its revision.
std::vector<raw_record> with_changed_value(std::vector<raw_record> set,
                                           const std::string& key,
                                           const std::string& pointer,
                                           json value) {
    raw_record& it = find(set, key);
    json document = json::parse(it.json);
    document[json::json_pointer(pointer)] = std::move(value);
    it.json = document.dump();
    ++it.revision;
    return set;
}

snapshot_ptr build(generation gen, std::vector<raw_record> set) {
    return build_snapshot(gen, std::move(set)).value();
}

struct bad_field {
    const char* key;
    const char* pointer;
    json value;
    const char* path;
};

template <class Body>
bool fails(Body body) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(body());
            return false;
        },
        [](const failure&) { return true; });
}

} // namespace

class records_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(records_test);
    CPPUNIT_TEST(accepts_the_example_records);
    CPPUNIT_TEST(reports_the_field_path_of_each_error);
    CPPUNIT_TEST(refuses_a_set_for_one_malformed_record);
    CPPUNIT_TEST(suggests_the_nearest_field);
    CPPUNIT_TEST(an_applied_delta_yields_the_newer_set);
    CPPUNIT_TEST(reused_services_yield_the_same_snapshot);
    CPPUNIT_TEST(a_delta_with_wrong_base_or_digest_is_rejected);
    CPPUNIT_TEST(decoder_rejects_malformed_bytes);
    CPPUNIT_TEST(diff_reports_which_flows_may_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_the_example_records() {
        for (const char* name : {"consulta-sul", "van-houtkamp"}) {
            const auto errors = check_records({1, 1}, read_example(name));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(errors.empty() ? "" : errors[0].reason,
                                         std::size_t{0}, errors.size());
        }
        const auto snapshot = build({1, 1}, read_example("consulta-sul"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, snapshot->services.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, snapshot->entries.size());
        const service* acervo = snapshot->find_service(service_id_of("acervo"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, acervo->hosts.size());
        // Schema 1 has neither field.
        CPPUNIT_ASSERT_EQUAL(1.0, acervo->hosts[0].weight);
        CPPUNIT_ASSERT(acervo->hosts[0].state == host_state::active);
    }

    void reports_the_field_path_of_each_error() {
        const std::vector<bad_field> cases{
            {"service/participa", "/hosts/2/packets", "127.0.0.1",
             "hosts[2].packets"},
            {"service/participa", "/hosts/2/packets", "127.10.1.1:7000",
             "hosts[2].packets"}, // the address of hosts[0]
            {"service/participa", "/hosts/1/control", "127.10.3.1:7001",
             "entries[0].control"}, // used by an entry, checked later
            {"service/participa", "/hosts/1/name", "participa-1",
             "hosts[1].name"},
            {"service/participa", "/hosts/1/weight", 0, "hosts[1].weight"},
            {"service/participa", "/hosts/1/weight", "1", "hosts[1].weight"},
            {"service/participa", "/hosts/1/state", "gone", "hosts[1].state"},
            {"service/participa", "/hosts/1", 7, "hosts[1]"},
            {"service/participa", "/limits/slots", 0, "limits.slots"},
            {"service/participa", "/limits/slots", -1, "limits.slots"},
            {"service/participa", "/limits/slots", 1.5, "limits.slots"},
            {"service/participa", "/objectives/flows_kept", 1.1,
             "objectives.flows_kept"},
            {"service/participa", "/address", "127.10.0.2:5683", "address"},
            {"service/participa", "/schema", 3, "schema"},
            {"service/participa", "/kind", "services", "name"},
            {"keys/packets", "/keys/0/state", "accepted", "state"},
            {"keys/packets", "/keys/1/state", "active", "keys[1].state"},
            {"keys/packets", "/keys/1/id", 1, "keys[1].id"},
            {"keys/packets", "/keys/1/id", 256, "keys[1].id"},
            {"keys/packets", "/keys/0/secret", "zz", "keys[0].secret"},
            {"fleet/main", "/epoch", 2, "epoch"},
        };
        const auto good = read_example("consulta-sul");
        for (const bad_field& invalid : cases) {
            const auto errors = check_records(
                {1, 1}, with_changed_value(good, invalid.key, invalid.pointer,
                                           invalid.value));
            const bool is_reported =
                std::ranges::any_of(errors, [&](auto& error) {
                    return error.reason.find(std::string(invalid.path) +
                                             ": found") != std::string::npos;
                });
            CPPUNIT_ASSERT_MESSAGE(
                std::string(invalid.pointer) + " gave " +
                    (errors.empty() ? "no error" : errors[0].reason),
                is_reported);
        }
    }

    void refuses_a_set_for_one_malformed_record() {
        auto set = read_example("consulta-sul");
        for (const std::string& text :
             {std::string("{"), std::string("[]"), std::string("\xff"),
              std::string(100'000, '[')}) {
            find(set, "service/acervo").json = text;
            CPPUNIT_ASSERT(fails([&] { return build_snapshot({1, 1}, set); }));
        }
        auto twice = read_example("consulta-sul");
        twice.push_back(twice[0]);
        CPPUNIT_ASSERT(fails([&] { return build_snapshot({1, 1}, twice); }));
    }

    void suggests_the_nearest_field() {
        auto set = read_example("consulta-sul");
        set =
            with_changed_value(set, "service/participa", "/hosts/0/wieght", 1);
        const auto found = unknown_fields(find(set, "service/participa"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].find("hosts[0].wieght") == 0);
        CPPUNIT_ASSERT(found[0].find(": weight") != std::string::npos);
        // Schema 1 has no weight; the parser ignores the field.
        set = with_changed_value(set, "service/acervo", "/hosts/0/weight", 2);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, unknown_fields(find(set, "service/acervo")).size());
        const auto snapshot = build({1, 2}, set);
        CPPUNIT_ASSERT(std::ranges::any_of(
            snapshot->raw_records, [](const raw_record& record) {
                return record.json.find("wieght") != std::string::npos;
            }));
    }

    void an_applied_delta_yields_the_newer_set() {
        const auto old = build({1, 1}, read_example("consulta-sul"));
        auto set = with_changed_value(old->raw_records, "service/participa",
                                      "/hosts/0/weight", 2);
        std::erase_if(
            set, [](auto& record) { return record.key == "entries/poa-b"; });
        const auto newer = build({1, 2}, set);
        for (const record_delta& delta :
             {make_delta(*old, *newer),
              make_delta(make_outline(*old), *newer)}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.changed.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.removed.size());
            const auto sent = decode_delta(encode_delta(delta)).value();
            const auto raw = apply_delta(old, sent).value();
            CPPUNIT_ASSERT_EQUAL(compute_digest(newer->raw_records),
                                 compute_digest(raw));
        }
        // A restored store may use revision 1 again with other content.
        const auto restored =
            build({2, 1}, with_changed_value(old->raw_records, "fleet/main",
                                             "/epoch", 2));
        CPPUNIT_ASSERT(make_delta(make_outline(*old), *restored).from ==
                       generation{});
    }

    void reused_services_yield_the_same_snapshot() {
        const auto old = build({1, 1}, read_example("consulta-sul"));
        const auto set = with_changed_value(
            old->raw_records, "service/participa", "/hosts/0/weight", 2);
        const auto newer = build_snapshot({1, 2}, set, old).value();
        CPPUNIT_ASSERT(diff(*build({1, 2}, set), *newer).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, diff(*old, *newer).size());
        // Detects a collision with a service that was not parsed again.
        const auto bad =
            with_changed_value(old->raw_records, "service/participa",
                               "/hosts/0/packets", "127.10.2.1:7000");
        CPPUNIT_ASSERT(fails([&] { return build_snapshot({1, 2}, bad, old); }));
    }

    void a_delta_with_wrong_base_or_digest_is_rejected() {
        const auto old = build({1, 1}, read_example("consulta-sul"));
        const auto newer = build(
            {1, 2}, with_changed_value(old->raw_records, "service/participa",
                                       "/hosts/0/weight", 2));
        auto delta = make_delta(*old, *newer);
        CPPUNIT_ASSERT(fails([&] { return apply_delta(newer, delta); }));
        CPPUNIT_ASSERT(fails([&] { return apply_delta(nullptr, delta); }));
        ++delta.digest;
        CPPUNIT_ASSERT(fails([&] { return apply_delta(old, delta); }));
    }

    void decoder_rejects_malformed_bytes() {
        const auto snapshot = build({1, 1}, read_example("consulta-sul"));
        const bytes good = encode_delta(make_full_delta(*snapshot));
        for (std::size_t n = 0; n < good.size(); ++n)
            CPPUNIT_ASSERT(
                fails([&] { return decode_delta(byte_view(good).first(n)); }));
        // Nested arrays would exhaust the stack of a recursive decoder.
        CPPUNIT_ASSERT(
            fails([&] { return decode_delta(bytes(1'000'000, 0x81)); }));
        const bool ok =
            rc::check("the decoder handles altered bytes without a crash",
                      [&](const bytes& noise, std::size_t at) {
                          fails([&] { return decode_delta(noise); });
                          bytes data = good;
                          for (std::size_t i = 0; i < noise.size(); ++i)
                              data[(at + i) % data.size()] ^= noise[i];
                          fails([&] { return decode_delta(data); });
                      });
        CPPUNIT_ASSERT(ok);
    }

    void diff_reports_which_flows_may_end() {
        const auto old = build({1, 1}, read_example("consulta-sul"));
        auto set = with_changed_value(old->raw_records, "service/participa",
                                      "/hosts/0/state", "draining");
        set =
            with_changed_value(set, "service/participa", "/hosts/1/weight", 2);
        const auto changes = diff(*old, *build({1, 2}, set));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0].kind == change_kind::host_drains);
        CPPUNIT_ASSERT_EQUAL(std::string("participa-1"), changes[0].subject);
        CPPUNIT_ASSERT(changes[0].no_new_work && changes[0].flows_may_end);
        CPPUNIT_ASSERT(changes[1].kind == change_kind::host_weight);
        CPPUNIT_ASSERT(!changes[1].no_new_work && !changes[1].flows_may_end);
        CPPUNIT_ASSERT(diff(*old, *old).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(records_test);

} // namespace arbutusport::records
