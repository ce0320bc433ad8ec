// Serialises a CoAP request, parses the datagram and prints the message.

#include <arbutusport/requests/coap_message.hpp>

#include <iostream>

namespace {

using namespace arbutusport;
using namespace arbutusport::requests;

// The upper three bits of a CoAP code are the class, the lower five the
// detail (RFC 7252, section 3).
constexpr unsigned class_shift = 5;
constexpr unsigned detail_mask = 0x1f;

int print_message(const coap_message& message) {
    std::cout << "code=" << (message.code >> class_shift) << '.'
              << (message.code & detail_mask) << " id=" << message.id
              << " payload=" << payload_text(message) << '\n';
    for (const coap_option& option : message.options)
        std::cout << "option=" << option.number
                  << " bytes=" << option.value.size() << '\n';
    return 0;
}

} // namespace

int main() {
    coap_message request;
    request.code = codes::post;
    request.id = 7;
    request.token = make_token(1);
    request.add_uint(options::deadline, 500);
    request.payload = to_bytes("a contribution");
    const bytes datagram = serialise(request);
    return handle_failure(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(parsed, parse_message(datagram));
            return print_message(parsed);
        },
        [](const failure& it) {
            std::cerr << it.step << ": " << it.reason << '\n';
            return 1;
        });
}
