// Combines lambdas into one visitor for std::visit.
#pragma once

namespace arbutusport {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace arbutusport
