// Writes a CoAP message, parses the datagram and prints it.

#include <arbutusport/requests/coap_message.hpp>

#include <iostream>

namespace {

using namespace arbutusport;
using namespace arbutusport::requests;

// The upper three bits of a code are its class.
constexpr unsigned class_shift = 5;
constexpr unsigned detail_mask = 0x1f;

int print(const coap_message& it) {
    std::cout << "code=" << (it.code >> class_shift) << '.'
              << (it.code & detail_mask) << " id=" << it.id
              << " payload=" << payload_text(it) << '\n';
    for (const coap_option& option : it.options)
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
            return print(parsed);
        },
        [](const failure& it) {
            std::cerr << it.step << ": " << it.reason << '\n';
            return 1;
        });
}
