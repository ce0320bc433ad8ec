// Delay, loss, duplicates and partitions of links.

#include <arbutusport/emulator/virtual_links.hpp>

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::emulator {

namespace {

bool any_matches(const std::vector<std::string>& patterns,
                 const std::string& name) {
    return std::ranges::any_of(
        patterns, [&](const auto& it) { return matches(it, name); });
}

} // namespace

virtual_links::virtual_links(link_options options, std::uint64_t seed,
                             virtual_time& clock)
    : options_(options), random_(seed), clock_(clock) {}

void virtual_links::cut(std::vector<std::string> left,
                        std::vector<std::string> right, time_point end) {
    cuts_.push_back({std::move(left), std::move(right), end});
}

bool virtual_links::is_cut(const std::string& from,
                           const std::string& to) const {
    return std::ranges::any_of(cuts_, [&](const cut_link& it) {
        if (it.end <= clock_.now())
            return false;
        return (any_matches(it.left, from) && any_matches(it.right, to)) ||
               (any_matches(it.left, to) && any_matches(it.right, from));
    });
}

void virtual_links::datagram(const link_end& from, const link_end& to,
                             const std::function<void()>& arrive) {
    if (is_cut(from.name, to.name) || chance(options_.loss))
        return;
    clock_.after(delay(from, to), arrive);
    if (chance(options_.duplicates))
        clock_.after(delay(from, to), arrive);
}

bool virtual_links::stream(const link_end& from, const link_end& to,
                           virtual_time::event_function arrive) {
    if (is_cut(from.name, to.name))
        return false;
    clock_.after(delay(from, to), std::move(arrive));
    return true;
}

duration virtual_links::delay(const link_end& from, const link_end& to) {
    duration fixed = options_.between_data_centres;
    if (from.data_centre.empty() || to.data_centre.empty())
        fixed = options_.to_clients;
    else if (from.data_centre == to.data_centre)
        fixed = options_.within_data_centre;
    boost::random::uniform_int_distribution<duration::rep> jitter(
        0, options_.jitter.count());
    return fixed + duration(jitter(random_));
}

bool virtual_links::chance(double probability) {
    return boost::random::uniform_01<double>()(random_) < probability;
}

} // namespace arbutusport::emulator
