// The functions of process_core that run on other threads: control messages,
// platform client and HTTP. State of the node is accessed only through tasks of
// the loop.

#include <arbutusport/daemon/process_core.hpp>

#include <arbutusport/adapters/clock.hpp>

#include <utility>

namespace arbutusport::daemon {

namespace {

using adapters::log_event;
using adapters::severity;

// A peer waits 2 s for a reply, so a later one would be useless.
constexpr duration sync_answer_timeout = std::chrono::seconds(1);

bytes to_bytes(const std::string& text) {
    return {text.begin(), text.end()};
}

void log_failure(severity level, const char* event, const failure& it) {
    log_event(level, event)
        .field("step", it.step)
        .field("peer", it.peer)
        .field("reason", it.reason);
}

} // namespace

void process_core::post_outputs(std::function<node::outputs(time_point)> body) {
    const bool posted = loop_.post([this, body = std::move(body)] {
        const auto now = adapters::now();
        execute(body(now), now);
    });
    if (!posted)
        count_drop("control_queue_full", "");
}

void process_core::send_sync_request(node::send_sync& it) {
    bytes request{static_cast<std::uint8_t>(adapters::control_type::sync)};
    request.insert(request.end(), it.request.begin(), it.request.end());
    control_client_->request(
        it.peer, std::move(request),
        [this, peer = it.peer](std::variant<bytes, failure> reply) {
            if (const auto* why = std::get_if<failure>(&reply)) {
                log_failure(severity::debug, "sync_failed", *why);
                post_outputs([this, peer](time_point now) {
                    return hooks_.control->on_sync_error(peer, now);
                });
                return;
            }
            post_outputs([this, peer, body = std::get<bytes>(std::move(reply))](
                             time_point now) {
                return hooks_.control->on_sync_reply(peer, body, now);
            });
        });
}

bytes process_core::handle_control_request(byte_view request) {
    if (request.empty())
        return {};
    switch (static_cast<adapters::control_type>(request.front())) {
    case adapters::control_type::sync:
        return handle_sync_request(request.subspan(1));
    case adapters::control_type::status:
        return to_bytes(telemetry::to_json(last_status()));
    }
    return {};
}

bytes process_core::handle_sync_request(byte_view body) {
    // The task may run after the wait has timed out, so it owns its input.
    const auto reply = loop_.call<bytes>(
        [this, owned = bytes(body.begin(), body.end())] {
            const auto now = adapters::now();
            auto answer = hooks_.control->on_sync_request(owned, now);
            execute(std::move(answer.actions), now);
            return std::move(answer.reply);
        },
        sync_answer_timeout);
    return reply.value_or(bytes{});
}

std::optional<adapters::http_document>
process_core::handle_http_request(const std::string& path) const {
    const auto status = last_status();
    if (path == "/metrics")
        return adapters::http_document{"text/plain; version=0.0.4",
                                       metrics_.text()};
    if (path == "/health") {
        const bool healthy = status.in_force.has_value() && !status.draining;
        return adapters::http_document{"application/json",
                                       telemetry::to_json(status), healthy};
    }
    if (path == "/slo") {
        const std::lock_guard lock(telemetry_mutex_);
        return adapters::http_document{"application/json",
                                       slo_burn_.to_json(adapters::now())};
    }
    return std::nullopt;
}

void process_core::platform_failed(const failure& it) {
    ++metrics_.count("arbutus_platform_errors_total");
    log_failure(severity::warning, "platform_failed", it);
}

adapters::platform_callbacks process_core::platform_callbacks() {
    adapters::platform_callbacks out;
    out.on_head = [this](config::head it) {
        post_outputs([this, it = std::move(it)](time_point now) {
            return hooks_.control->on_head(it, now);
        });
    };
    // Reports a head with the same generation: it ends the watch, and no record
    // is fetched.
    out.on_unchanged = [this](generation after) {
        post_outputs([this, after](time_point now) {
            return hooks_.control->on_head({after, {}}, now);
        });
    };
    out.on_records = [this](std::vector<records::raw_record> read) {
        post_outputs([this, read = std::move(read)](time_point now) {
            return hooks_.control->on_records(read, now);
        });
    };
    out.on_error = [this](const failure& it) {
        platform_failed(it);
        post_outputs([this](time_point now) {
            return hooks_.control->on_platform_error(now);
        });
    };
    out.on_instances = [this](std::vector<adapters::platform_instance> list) {
        std::vector<node::listed_instance> known;
        for (const auto& it : list)
            known.push_back({process_id_of(it.name), it.leaving});
        post_outputs([this, known = std::move(known)](time_point now) {
            return hooks_.on_instances(known, now);
        });
    };
    out.on_instances_error = [this](const failure& it) { platform_failed(it); };
    return out;
}

} // namespace arbutusport::daemon
