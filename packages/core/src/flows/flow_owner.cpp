// Public functions of flow_owner. Each runs its implementation under the lock;
// closed flows are reported after unlocking.

#include "flow_owner_impl.hpp"

namespace arbutusport::flows {

const char* to_string(drop_reason reason) {
    switch (reason) {
    case drop_reason::no_configuration:
        return "no_configuration";
    case drop_reason::wrong_service:
        return "wrong_service";
    case drop_reason::wrong_target:
        return "wrong_target";
    case drop_reason::too_many_hops:
        return "too_many_hops";
    case drop_reason::table_full:
        return "table_full";
    case drop_reason::held_full:
        return "held_full";
    case drop_reason::unexpected_type:
        return "unexpected_type";
    case drop_reason::malformed_body:
        return "malformed_body";
    case drop_reason::stale_generation:
        return "stale_generation";
    }
    return "unknown";
}

flow_owner::flow_owner(flow_options options)
    : impl_(std::make_unique<impl>(options)),
      on_closed_(std::move(options.on_closed)) {}

flow_owner::~flow_owner() = default;

template <class Call>
auto flow_owner::locked(Call&& call) {
    std::vector<flow_key> closed;
    std::unique_lock lock(impl_->mutex);
    auto out = call(*impl_);
    closed = impl_->take_closed_flows();
    lock.unlock();
    if (on_closed_)
        for (const auto& flow : closed)
            on_closed_(flow);
    return out;
}

flow_actions flow_owner::set_snapshot(records::snapshot_ptr snapshot,
                                      time_point now) {
    return locked(
        [&](impl& it) { return it.set_snapshot(std::move(snapshot), now); });
}

flow_actions flow_owner::on_packet(wire::packet message, time_point now) {
    return locked(
        [&](impl& it) { return it.on_packet(std::move(message), now); });
}

flow_actions flow_owner::on_tick(time_point now) {
    return locked([&](impl& it) { return it.on_tick(now); });
}

flow_actions flow_owner::answer(const flow_key& flow, byte_view datagram,
                                bool avoid_last, time_point now) {
    return locked(
        [&](impl& it) { return it.answer(flow, datagram, avoid_last, now); });
}

void flow_owner::release(const flow_key& flow, time_point) {
    locked([&](impl& it) {
        it.release(flow);
        return true;
    });
}

bool flow_owner::migrate(const flow_key& from, const flow_key& to,
                         time_point now) {
    return locked([&](impl& it) { return it.migrate(from, to, now); });
}

flow_actions flow_owner::forward_to_host(process_id host, const flow_key& flow,
                                         byte_view datagram, bool keep_flow,
                                         time_point now) {
    return locked([&](impl& it) {
        return it.forward_to_host(host, flow, datagram, keep_flow, now);
    });
}

void flow_owner::set_draining(bool draining) {
    const std::lock_guard lock(impl_->mutex);
    impl_->set_draining(draining);
}

void flow_owner::set_accepting(bool accepting) {
    const std::lock_guard lock(impl_->mutex);
    impl_->set_accepting(accepting);
}

flow_actions flow_owner::on_resumed(time_point now) {
    return locked([&](impl& it) { return it.on_resumed(now); });
}

bool flow_owner::owns(const flow_key& flow) const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->owns(flow);
}

std::size_t flow_owner::flow_count() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->flow_count();
}

std::size_t flow_owner::memory_bytes() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->memory_bytes();
}

host_load flow_owner::load(time_point now) const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->load(now);
}

std::vector<flow_key> flow_owner::owned() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->owned();
}

} // namespace arbutusport::flows
