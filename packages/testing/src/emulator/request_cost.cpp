// Measures real time and heap of a broker with many sessions.

#include <arbutusport/emulator/request_load.hpp>

#include <arbutusport/requests/coap_message.hpp>
#include <arbutusport/requests/request_broker.hpp>

#include <malloc.h>

#include <chrono>
#include <stdexcept>
#include <variant>
#include <vector>

namespace arbutusport::emulator {

namespace {

using namespace requests;
using steady_clock = std::chrono::steady_clock;

constexpr std::size_t measured_requests = 50'000;
constexpr std::size_t body_size = 64;
// Virtual time between requests, so that finished entries expire as in a
// running process.
constexpr duration request_interval = std::chrono::milliseconds(10);

std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

flow_key make_flow(std::size_t number) {
    return {{static_cast<std::uint32_t>(number + 1), 5000}, {2, 5683}};
}

// A broker with one client and an upstream that answers immediately.
class broker_fixture {
public:
    explicit broker_fixture(std::uint64_t seed)
        : broker_(
              {.self = process_id(1), .run = incarnation(1), .seed = seed}) {}

    coap_message make_request(std::uint8_t code) {
        coap_message it;
        it.code = code;
        it.id = static_cast<std::uint16_t>(++last_request_);
        it.token = make_token(last_request_);
        it.add(options::uri_path, to_bytes("contributions"));
        it.add_uint(options::deadline, 1000);
        if (code == codes::post)
            it.payload = bytes(body_size, 'x');
        return it;
    }

    /// Runs a request to completion and returns the datagram for the client.
    bytes run_request(const flow_key& flow, const coap_message& request) {
        now_ += request_interval;
        auto actions = broker_.on_client(flow, serialise(request), now_);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            if (const auto* it = std::get_if<reply>(&actions[i]))
                return it->datagram;
            const auto* work = std::get_if<to_upstream>(&actions[i]);
            if (!work)
                continue;
            const auto answers =
                broker_.on_upstream(make_answer(work->datagram), now_);
            actions.insert(actions.end(), answers.begin(), answers.end());
        }
        throw std::logic_error("the broker returned no reply");
    }

    void write(const flow_key& flow) {
        const auto first = run_request(flow, make_request(codes::post));
        auto request = make_request(codes::post);
        request.add(options::echo,
                    parse_message(first).value().find(options::echo)->value);
        run_request(flow, request);
    }

    void observe(const flow_key& flow) {
        auto request = make_request(codes::get);
        request.add_uint(options::observe, 0);
        run_request(flow, request);
    }

    void tick() { broker_.on_tick(now_); }

private:
    static bytes make_answer(const bytes& datagram) {
        const auto asked = parse_message(datagram).value();
        auto it = make_response(codes::content, "");
        it.id = asked.id;
        it.token = asked.token;
        if (asked.find(options::observe))
            it.add_uint(options::observe, 1);
        it.payload = bytes(body_size, 'y');
        return serialise(it);
    }

    time_point now_;
    std::uint64_t last_request_ = 0;
    request_broker broker_;
};

double us_since(steady_clock::time_point start, std::size_t n) {
    return std::chrono::duration<double, std::micro>(steady_clock::now() -
                                                     start)
               .count() /
           static_cast<double>(n);
}

double measure_codec(broker_fixture& fixture) {
    // Lower bound for a read: the request and its answer are each parsed and
    // serialised once on both sides.
    const bytes datagram = serialise(fixture.make_request(codes::get));
    std::size_t size = 0;
    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < measured_requests; ++i)
        for (int copy = 0; copy < 2; ++copy)
            size += serialise(parse_message(datagram).value()).size();
    const auto us = us_since(start, measured_requests);
    return size > 0 ? us : 0;
}

} // namespace

broker_cost measure_broker(std::uint64_t seed, std::size_t sessions) {
    broker_cost out;
    out.requests = measured_requests;
    broker_fixture fixture(seed);
    const auto before = heap_bytes();
    for (std::size_t i = 0; i < sessions; ++i)
        // A write without binding opens the session and creates no entry.
        fixture.run_request(make_flow(i), fixture.make_request(codes::post));
    const auto opened = heap_bytes();
    for (std::size_t i = 0; i < sessions; ++i) {
        fixture.observe(make_flow(i));
        fixture.write(make_flow(i));
    }
    const auto n = static_cast<double>(sessions);
    out.bytes_session_only = static_cast<double>(opened - before) / n;
    out.bytes_per_session = static_cast<double>(heap_bytes() - before) / n;

    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < measured_requests; ++i) {
        fixture.run_request(make_flow(i % sessions),
                            fixture.make_request(codes::get));
        fixture.tick();
    }
    out.us_per_request = us_since(start, measured_requests);
    out.us_codec = measure_codec(fixture);
    return out;
}

} // namespace arbutusport::emulator
