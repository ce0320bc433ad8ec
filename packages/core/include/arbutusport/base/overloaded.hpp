// Visits a variant by a set of lambdas.
#pragma once

namespace arbutusport {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace arbutusport
