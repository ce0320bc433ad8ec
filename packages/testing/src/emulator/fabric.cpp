// Sends client datagrams to random entries and responses to the clients, with
// loss, duplication and delay.

#include <arbutusport/emulator/fabric.hpp>

#include <arbutusport/emulator/proxy_header.hpp>
#include <arbutusport/emulator/tool.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

constexpr std::size_t max_queued_datagrams = 100'000;

struct fabric_counters {
    std::uint64_t to_entries = 0;
    std::uint64_t to_clients = 0;
    std::uint64_t lost = 0;
    std::uint64_t cut = 0;
    std::uint64_t duplicated = 0;
    // Datagrams from entries without a valid PROXY header or whose source is
    // not a service, such as a reversed header (client to service).
    std::uint64_t malformed = 0;
    std::uint64_t overflow = 0;
};

duration milliseconds_of(const json& it) {
    return duration(static_cast<duration::rep>(it.get<double>() * 1000));
}

} // namespace

class fabric::impl {
public:
    explicit impl(fabric_options options)
        : options_(std::move(options)), random_(options_.seed),
          entry_socket_(options_.listen) {
        for (const endpoint& it : options_.services)
            service_sockets_.try_emplace(it, it);
        descriptors_.push_back(entry_socket_.descriptor());
        for (const auto& [address, socket] : service_sockets_)
            descriptors_.push_back(socket.descriptor());
    }

    void step(duration timeout) {
        wait_readable(descriptors_, wait_ms(timeout));
        const std::scoped_lock lock(mutex_);
        const time_point now = monotonic_now();
        for (auto& it : service_sockets_)
            it.second.receive([&](const endpoint& from, byte_view data) {
                on_client({from, it.first}, data, now);
            });
        entry_socket_.receive([&](const endpoint& from, byte_view data) {
            on_entry(from, data, now);
        });
        send_due(now);
    }

    http_answer on_admin(const http_call& call) {
        const std::scoped_lock lock(mutex_);
        if (call.path != "/admin/fabric")
            return {404, "no path " + call.path, {}};
        if (call.method == "POST")
            apply_settings(json::parse(call.body));
        return {200,
                json{{"to_entries", counters_.to_entries},
                     {"to_clients", counters_.to_clients},
                     {"lost", counters_.lost},
                     {"cut", counters_.cut},
                     {"duplicated", counters_.duplicated},
                     {"malformed", counters_.malformed},
                     {"overflow", counters_.overflow}}
                    .dump(),
                {}};
    }

private:
    struct delayed_datagram {
        // The socket that sends the datagram.
        udp_socket* socket;
        datagram message;
    };

    int wait_ms(duration timeout) {
        const std::scoped_lock lock(mutex_);
        if (!queue_.empty())
            timeout =
                std::min(timeout, queue_.begin()->first - monotonic_now());
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(timeout);
        return static_cast<int>(std::max<std::int64_t>(ms.count(), 0));
    }

    void on_client(const flow_key& flow, byte_view data, time_point now) {
        if (options_.entries.empty()) {
            ++counters_.lost;
            return;
        }
        std::uniform_int_distribution<std::size_t> entry_index(
            0, options_.entries.size() - 1);
        const endpoint entry = options_.entries[entry_index(random_)];
        if (unreachable_entries_.contains(entry)) {
            ++counters_.cut;
            return;
        }
        bytes message(proxy_header_size + data.size());
        write_proxy_header({flow.client, flow.service}, message.data());
        std::ranges::copy(data, message.begin() + proxy_header_size);
        ++counters_.to_entries;
        enqueue({&entry_socket_, {entry, std::move(message)}}, now);
    }

    void on_entry(const endpoint& entry, byte_view data, time_point now) {
        if (unreachable_entries_.contains(entry)) {
            ++counters_.cut;
            return;
        }
        const auto addresses = read_proxy_header(data);
        const auto service = addresses
                                 ? service_sockets_.find(addresses->source)
                                 : service_sockets_.end();
        if (service == service_sockets_.end()) {
            ++counters_.malformed;
            return;
        }
        const byte_view rest = data.subspan(proxy_header_size);
        ++counters_.to_clients;
        enqueue({&service->second,
                 {addresses->destination, {rest.begin(), rest.end()}}},
                now);
    }

    void enqueue(delayed_datagram it, time_point now) {
        const path_quality& quality = options_.quality;
        std::uniform_real_distribution<double> ratio(0, 1);
        if (ratio(random_) < quality.loss) {
            ++counters_.lost;
            return;
        }
        if (queue_.size() >= max_queued_datagrams) {
            ++counters_.overflow;
            return;
        }
        if (ratio(random_) < quality.duplicate) {
            ++counters_.duplicated;
            queue_.emplace(draw_send_time(now), it);
        }
        queue_.emplace(draw_send_time(now), std::move(it));
    }

    time_point draw_send_time(time_point now) {
        std::uniform_int_distribution<duration::rep> extra(
            0, options_.quality.jitter.count());
        return now + options_.quality.delay + duration(extra(random_));
    }

    void send_due(time_point now) {
        std::map<udp_socket*, std::vector<datagram>> batches;
        const auto end = queue_.upper_bound(now);
        for (auto it = queue_.begin(); it != end; ++it)
            batches[it->second.socket].push_back(std::move(it->second.message));
        queue_.erase(queue_.begin(), end);
        for (auto& [socket, batch] : batches)
            socket->send(batch);
    }

    void apply_settings(const json& it) {
        path_quality& quality = options_.quality;
        quality.loss = it.value("loss", quality.loss);
        quality.duplicate = it.value("duplicate", quality.duplicate);
        if (it.contains("delay_ms"))
            quality.delay = milliseconds_of(it["delay_ms"]);
        if (it.contains("jitter_ms"))
            quality.jitter = milliseconds_of(it["jitter_ms"]);
        if (it.contains("entries"))
            options_.entries = loopback_endpoints(it["entries"]);
        if (it.contains("cut")) {
            const auto list = loopback_endpoints(it["cut"]);
            unreachable_entries_ = {list.begin(), list.end()};
        }
    }

    std::mutex mutex_;
    fabric_options options_;
    std::mt19937_64 random_;
    std::set<endpoint> unreachable_entries_;
    udp_socket entry_socket_;
    std::map<endpoint, udp_socket> service_sockets_;
    std::vector<int> descriptors_;
    // Keyed by send time; datagrams with the same time keep their order.
    std::multimap<time_point, delayed_datagram> queue_;
    fabric_counters counters_;
};

fabric::fabric(fabric_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

fabric::~fabric() = default;

void fabric::step(duration timeout) {
    impl_->step(timeout);
}

http_answer fabric::on_admin(const http_call& call) {
    return impl_->on_admin(call);
}

} // namespace arbutusport::emulator
