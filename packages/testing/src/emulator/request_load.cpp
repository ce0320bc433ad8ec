// Load models of overload and shedding in virtual time.

#include <arbutusport/emulator/request_load.hpp>

#include <arbutusport/emulator/answer_body.hpp>
#include <arbutusport/emulator/virtual_upstream.hpp>
#include <arbutusport/requests/request_broker.hpp>

#include <array>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;
using namespace requests;

constexpr duration run_time = 60s;
constexpr duration request_deadline = 500ms;
constexpr std::size_t flow_count = 200;
constexpr int max_naive_attempts = 4;
constexpr duration tick_interval = 10ms;

// By default 2 slots and a mean service time of 20 ms.
double capacity_per_second(const virtual_upstream_options& it) {
    const auto mean = (it.min_service + it.max_service) / 2;
    return static_cast<double>(it.slots) * 1e6 /
           static_cast<double>(mean.count());
}

coap_message make_read(std::uint64_t number) {
    coap_message it;
    it.code = codes::get;
    it.id = static_cast<std::uint16_t>(number);
    it.token = make_token(number);
    it.add(options::uri_path, to_bytes("texts"));
    set_request_name(it, std::to_string(number));
    it.add_uint(options::deadline,
                static_cast<std::uint32_t>(request_deadline / 1ms));
    return it;
}

flow_key make_flow(std::uint64_t number) {
    return {{1, static_cast<std::uint16_t>(1024 + number % flow_count)},
            {2, 5683}};
}

std::uint64_t request_number_of(const bytes& datagram, std::uint8_t& code) {
    const auto it = parse_message(datagram).value();
    code = it.code;
    return read_token(it.token).value();
}

// Schedules `arrive` for each request number as a Poisson process.
void plan_arrivals(simulation& time, double per_second,
                   const std::function<void(std::uint64_t)>& arrive) {
    std::exponential_distribution<double> gap(per_second);
    std::mt19937_64 random(time.draw());
    double at_s = gap(random);
    for (std::uint64_t i = 1; at_s * 1s < run_time; ++i) {
        time.after(std::chrono::duration_cast<duration>(at_s * 1s),
                   [&arrive, i] { arrive(i); });
        at_s += gap(random);
    }
}

// One host with its broker and its upstream, 100 µs apart.
class loaded_host {
public:
    using reply_sender = std::function<void(const bytes&)>;
    using other_host_sender = std::function<void(const broker_action&)>;

    loaded_host(simulation& time, broker_options options,
                virtual_upstream_options upstream, reply_sender to_client,
                other_host_sender to_host)
        : time_(time), broker_(std::move(options)),
          upstream_(time, std::move(upstream), nullptr,
                    [this](bytes datagram) {
                        time_.after(100us, [this, datagram] {
                            perform(broker_.on_upstream(datagram, time_.now()));
                        });
                    }),
          to_client_(std::move(to_client)), to_host_(std::move(to_host)) {
        tick();
    }

    void perform(const broker_actions& actions) {
        for (const auto& it : actions) {
            if (const auto* answer = std::get_if<reply>(&it))
                to_client_(answer->datagram);
            else if (const auto* work = std::get_if<to_upstream>(&it))
                time_.after(100us, [this, datagram = work->datagram] {
                    upstream_.on_datagram(datagram);
                });
            else if (to_host_)
                to_host_(it);
        }
    }

    request_broker& broker() { return broker_; }
    virtual_upstream& upstream() { return upstream_; }

private:
    void tick() {
        perform(broker_.on_tick(time_.now()));
        time_.after(tick_interval, [this] { tick(); });
    }

    simulation& time_;
    request_broker broker_;
    virtual_upstream upstream_;
    reply_sender to_client_;
    other_host_sender to_host_;
};

} // namespace

load_result run_load(const load_options& options) {
    simulation time(options.seed);
    const virtual_upstream_options upstream;
    const auto capacity = capacity_per_second(upstream);
    std::map<std::uint64_t, time_point> sent;
    load_result out;
    std::size_t in_time = 0;
    loaded_host host(time, {.self = process_id(1), .run = incarnation(1)},
                     upstream,
                     [&](const bytes& datagram) {
                         std::uint8_t code = 0;
                         const auto n = request_number_of(datagram, code);
                         if (code == codes::unavailable)
                             ++out.refused;
                         if (code == codes::content &&
                             time.now() <= sent[n] + request_deadline)
                             ++in_time;
                     },
                     {});
    const std::function<void(std::uint64_t)> arrive = [&](std::uint64_t n) {
        ++out.requests;
        sent[n] = time.now();
        host.perform(host.broker().on_client(
            make_flow(n), serialise(make_read(n)), time.now()));
    };
    plan_arrivals(time, options.load * capacity, arrive);
    time.run_until(time_point(run_time));
    out.goodput_ratio = static_cast<double>(in_time) /
                        (capacity * static_cast<double>(run_time / 1s));
    return out;
}

load_result run_naive_load(const load_options& options) {
    simulation time(options.seed);
    const virtual_upstream_options upstream_settings;
    const auto capacity = capacity_per_second(upstream_settings);
    // Send time and request number by attempt number.
    std::map<std::uint64_t, std::pair<time_point, std::uint64_t>> attempts;
    std::map<std::uint64_t, int> attempts_left;
    load_result out;
    std::size_t in_time = 0;
    std::uint64_t last_attempt = 0;
    virtual_upstream upstream(
        time, upstream_settings, nullptr, [&](bytes datagram) {
            std::uint8_t code = 0;
            const auto& [at, n] = attempts[request_number_of(datagram, code)];
            if (time.now() <= at + request_deadline && attempts_left.erase(n))
                ++in_time;
        });
    std::function<void(std::uint64_t)> send = [&](std::uint64_t n) {
        const auto left = attempts_left.find(n);
        if (left == attempts_left.end() || left->second-- == 0)
            return;
        attempts[++last_attempt] = {time.now(), n};
        upstream.on_datagram(serialise(make_read(last_attempt)));
        time.after(request_deadline, [&send, n] { send(n); });
    };
    const std::function<void(std::uint64_t)> arrive = [&](std::uint64_t n) {
        ++out.requests;
        attempts_left[n] = max_naive_attempts;
        send(n);
    };
    plan_arrivals(time, options.load * capacity, arrive);
    time.run_until(time_point(run_time));
    out.goodput_ratio = static_cast<double>(in_time) /
                        (capacity * static_cast<double>(run_time / 1s));
    return out;
}

namespace {

constexpr std::size_t retry_host_count = 7;
constexpr double retry_load = 0.5;

// Distributes flows evenly over the hosts; host 0 sheds every request.
class retry_simulation {
public:
    retry_simulation(std::uint64_t seed, double retry_ratio) : time_(seed) {
        for (std::size_t i = 0; i < retry_host_count; ++i) {
            broker_options options{.self = process_id(i + 1),
                                   .run = incarnation(1),
                                   .retry_ratio = retry_ratio,
                                   .seed = time_.draw()};
            virtual_upstream_options upstream;
            upstream.faults.shed = i == 0 ? 1 : 0;
            hosts_.push_back(std::make_unique<loaded_host>(
                time_, options, upstream, [](const bytes&) {},
                [this, i](const broker_action& it) {
                    deliver_to_other_host(i, it);
                }));
        }
    }

    retry_result run() {
        const std::function<void(std::uint64_t)> arrive = [&](std::uint64_t n) {
            ++out_.requests;
            loaded_host& host = *hosts_[n % retry_host_count];
            host.perform(host.broker().on_client(
                make_flow(n), serialise(make_read(n)), time_.now()));
        };
        plan_arrivals(time_,
                      retry_load * retry_host_count *
                          capacity_per_second(virtual_upstream_options()),
                      arrive);
        time_.run_until(time_point(run_time));
        std::size_t attempts = 0;
        for (const auto& host : hosts_)
            attempts += host->upstream().request_count();
        out_.amplification =
            static_cast<double>(attempts) / static_cast<double>(out_.requests);
        return out_;
    }

private:
    void deliver_to_other_host(std::size_t from, const broker_action& it) {
        if (const auto* work = std::get_if<execute_remotely>(&it)) {
            const auto step = 1 + time_.draw() % (retry_host_count - 1);
            loaded_host& to = *hosts_[(from + step) % retry_host_count];
            time_.after(1ms, [this, &to, from, work = *work] {
                to.perform(to.broker().on_remote_request(
                    process_id(from + 1), work.exchange, work.request,
                    time_.now()));
            });
        } else if (const auto* done = std::get_if<send_remote_response>(&it)) {
            ++out_.served_elsewhere;
            loaded_host& to = *hosts_[done->origin.value() - 1];
            time_.after(1ms, [this, &to, done = *done] {
                to.perform(to.broker().on_remote_response(
                    done.exchange, done.response, time_.now()));
            });
        }
    }

    simulation time_;
    retry_result out_;
    std::vector<std::unique_ptr<loaded_host>> hosts_;
};

} // namespace

retry_result run_retries(std::uint64_t seed, double retry_ratio) {
    return retry_simulation(seed, retry_ratio).run();
}

retry_result run_naive_retries(std::uint64_t seed) {
    simulation time(seed);
    retry_result out;
    std::size_t attempts = 0;
    const std::function<void(std::uint64_t)> arrive = [&](std::uint64_t n) {
        ++out.requests;
        // The shedding host receives every attempt of its requests.
        attempts += n % retry_host_count == 0 ? max_naive_attempts : 1;
    };
    plan_arrivals(time,
                  retry_load * retry_host_count *
                      capacity_per_second(virtual_upstream_options()),
                  arrive);
    time.run_until(time_point(run_time));
    out.amplification =
        static_cast<double>(attempts) / static_cast<double>(out.requests);
    return out;
}

} // namespace arbutusport::emulator
