// Builds requests and checks that responses are complete and belong to them.

#include <arbutusport/emulator/client_operation.hpp>

#include <arbutusport/emulator/payload.hpp>

namespace arbutusport::emulator {

namespace option = requests::options;
using requests::coap_message;

namespace {

constexpr std::uint8_t block_size_1024 = 6; // size exponent of RFC 7959
constexpr std::uint32_t observe_register = 0;

void add_text(coap_message& it, std::uint16_t number, const std::string& text) {
    it.add(number, requests::to_bytes(text));
}

// Requests without a payload have their name in the query.
void add_query(coap_message& out, const operation& it,
               const client_options& options) {
    add_text(out, option::uri_query, "request=" + it.request);
    add_text(out, option::uri_query, "client=" + options.name);
    add_text(out, option::uri_query, "service=" + options.service);
}

bool has_valid_checksum(const payload& it) {
    return field(it.fields, "checksum") == checksum_of(it.body);
}

void add_contribution(coap_message& out, const operation& it,
                      const client_options& options) {
    out.code = requests::codes::post;
    add_text(out, option::uri_path, "contributions");
    out.add(option::request_tag, it.request_tag);
    out.payload = requests::to_bytes(to_text({{{"request", it.request},
                                               {"client", options.name},
                                               {"service", options.service}},
                                              it.body}));
}

} // namespace

coap_message make_request(const operation& it, const client_options& options) {
    coap_message out;
    out.code = requests::codes::get;
    if (it.kind == request_kind::contribution) {
        add_contribution(out, it, options);
    } else if (it.kind == request_kind::text) {
        add_text(out, option::uri_path, "texts");
        add_text(out, option::uri_path, it.text);
        requests::set_block(out, option::block2,
                            {it.block, false, block_size_1024});
        add_query(out, it, options);
    } else {
        add_text(out, option::uri_path, "deadlines");
        out.add_uint(option::observe, observe_register);
        add_query(out, it, options);
    }
    if (!it.echo.empty())
        out.add(option::echo, it.echo);
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline);
    if (limit.count() > 0 && it.kind != request_kind::observation)
        out.add_uint(option::deadline,
                     static_cast<std::uint32_t>(limit.count()));
    return out;
}

event check_contribution(const operation& it, const coap_message& answer) {
    const payload content = parse_payload(requests::payload_text(answer));
    return {.result = outcome::answered,
            .answered_request = field(content.fields, "request"),
            .body_whole =
                content.body == it.body && has_valid_checksum(content)};
}

event check_text(const operation& it) {
    const payload content = parse_payload(it.assembled);
    const std::string name = field(content.fields, "text");
    return {.result = outcome::answered,
            .answered_request = name == it.text ? it.request : "text " + name,
            .body_whole = has_valid_checksum(content)};
}

event check_notification(const coap_message& answer) {
    const payload content = parse_payload(requests::payload_text(answer));
    return {.result = outcome::answered,
            .answered_request = field(content.fields, "request"),
            .body_whole = has_valid_checksum(content)};
}

} // namespace arbutusport::emulator
