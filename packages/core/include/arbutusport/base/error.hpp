// Errors as carried by Boost.LEAF: where they arose and at which peer.
#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace arbutusport {

namespace leaf = boost::leaf;

/// @brief One failure. `step` names the operation ("decode_packet"),
/// `peer` the process, file or record concerned, `reason` what was found
/// and what is allowed.
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

/// @brief Runs `body`; on error calls `on_error(const failure&)` and returns
/// what it returns.
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
