// The error type that Boost.LEAF results carry, and helpers to raise and
// handle it.
#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace arbutusport {

namespace leaf = boost::leaf;

/// @brief Describes one error. `step` names the operation that failed
/// ("decode_packet"), `peer` the process, file or record concerned, and
/// `reason` the value that was found and the values that are allowed.
struct failure {
    std::string step;
    std::string peer;
    std::string reason;
};

template <class T>
using result = leaf::result<T>;

inline leaf::error_id fail(std::string step, std::string peer,
                           std::string reason) {
    return leaf::new_error(
        failure{std::move(step), std::move(peer), std::move(reason)});
}

/// @brief Runs `body`. On error, returns the result of
/// `on_error(const failure&)`.
template <class Body, class Handler>
auto handle_failure(Body&& body, Handler&& on_error) {
    return leaf::try_handle_all(
        std::forward<Body>(body),
        [&](const failure& it) { return on_error(it); },
        [&] {
            return on_error(failure{"unknown", "", "unknown error"});
        });
}

} // namespace arbutusport
