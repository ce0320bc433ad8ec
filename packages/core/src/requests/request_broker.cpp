// The broker's public interface, and the construction of its messages.

#include "broker_impl.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusport::requests {

request_broker::impl::impl(broker_options options)
    : options_(std::move(options)), sessions_(options_.max_sessions),
      operations_(options_.max_dedup), queue_(options_.max_queue),
      retry_budget_(options_.retry_ratio),
      exchanges_(options_.binding_key, options_.run,
                 options_.checks.match_exchanges),
      random_(options_.seed) {
    last_message_id_ = static_cast<std::uint16_t>(random_());
}

bool request_broker::impl::is_drained() const {
    return drain_deadline_ && jobs_.empty() && sessions_.size() == 0;
}

void request_broker::impl::respond(const response_address& to,
                                   coap_message response) {
    const bool piggybacked = to.type == coap_type::confirmable;
    response.type =
        piggybacked ? coap_type::acknowledgement : coap_type::non_confirmable;
    response.id = piggybacked ? to.id : ++last_message_id_;
    response.token = to.token;
    actions_.emplace_back(reply{to.flow, serialise(response), false});
}

void request_broker::impl::respond_to_job(const job& current_job,
                                          coap_message response) {
    if (!current_job.is_from_peer())
        return respond(current_job.reply_to, std::move(response));
    response.type = coap_type::acknowledgement;
    actions_.emplace_back(send_remote_response{
        current_job.origin, current_job.origin_exchange, serialise(response)});
}

coap_message request_broker::impl::make_rejection(bool never_runs) const {
    auto response = make_response(codes::unavailable,
                                  never_runs ? not_run_payload : "overloaded");
    const auto wait =
        std::chrono::ceil<std::chrono::seconds>(expected_wait(queue_.size()));
    const auto seconds =
        drain_deadline_ ? 0 : std::max<std::int64_t>(1, wait.count());
    response.add_uint(options::max_age, static_cast<std::uint32_t>(seconds));
    return response;
}

coap_message
request_broker::impl::make_closing_response(std::string_view payload) const {
    auto response = make_response(codes::unavailable, payload);
    response.add_uint(options::max_age, 0);
    return response;
}

void request_broker::impl::add_binding(const session& owner,
                                       coap_message& response,
                                       time_point now) const {
    const auto issued =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    const binding issued_binding{options_.self, options_.run, owner.id,
                                 owner.epoch,
                                 static_cast<std::uint32_t>(issued.count())};
    response.erase(options::echo);
    response.add(options::echo,
                 encode_binding(issued_binding, options_.binding_key));
}

duration request_broker::impl::expected_wait(std::size_t ahead) const {
    const std::size_t slots = std::max<std::size_t>(1, options_.slots);
    const std::size_t busy = running_ < slots ? 0 : 1;
    return service_time_.mean() *
           static_cast<duration::rep>((ahead + busy * slots) / slots);
}

request_broker::request_broker(broker_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

request_broker::~request_broker() = default;

broker_actions request_broker::on_client(const flow_key& flow,
                                         byte_view datagram, time_point now) {
    impl_->on_client(flow, datagram, now);
    return impl_->take_actions();
}

broker_actions request_broker::on_upstream(byte_view datagram, time_point now) {
    impl_->on_upstream(datagram, now);
    return impl_->take_actions();
}

broker_actions request_broker::on_remote_request(process_id origin,
                                                 std::uint64_t exchange,
                                                 byte_view request,
                                                 time_point now) {
    impl_->on_remote_request(origin, exchange, request, now);
    return impl_->take_actions();
}

broker_actions request_broker::on_remote_response(std::uint64_t exchange,
                                                  byte_view response,
                                                  time_point now) {
    impl_->on_remote_response(exchange, response, now);
    return impl_->take_actions();
}

broker_actions request_broker::on_tick(time_point now) {
    impl_->on_tick(now);
    return impl_->take_actions();
}

void request_broker::on_flow_closed(const flow_key& flow, time_point now) {
    impl_->on_flow_closed(flow, now);
}

void request_broker::set_limits(std::uint32_t slots, std::size_t max_queue) {
    impl_->set_limits(slots, max_queue);
}

void request_broker::drain(time_point deadline) {
    impl_->drain(deadline);
}

void request_broker::end_drain() {
    impl_->end_drain();
}

bool request_broker::is_drained() const {
    return impl_->is_drained();
}

std::size_t request_broker::sessions() const {
    return impl_->sessions().size();
}

std::size_t request_broker::running() const {
    return impl_->running();
}

std::size_t request_broker::queued() const {
    return impl_->queued();
}

const broker_counters& request_broker::counters() const {
    return impl_->counters();
}

} // namespace arbutusport::requests
