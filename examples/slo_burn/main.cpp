// Counts good and bad requests of a service and prints the burn rate of its
// error budget. Exits with 0 if the fast-burn alert is active.

#include <arbutusport/telemetry/slo_burn.hpp>

#include <iostream>

int main() {
    using namespace arbutusport;
    using namespace std::chrono_literals;
    using telemetry::objective;

    records::snapshot published;
    published.services.emplace_back().name = "participa";
    telemetry::slo_burn burn;
    burn.set_snapshot(published);

    // For an hour 2% of the requests fail; the objective allows 0.1%.
    time_point now{24h};
    for (int minute = 0; minute < 60; ++minute, now += 1min)
        burn.add("participa", objective::requests_served, 980, 20, now);
    now -= 1min;

    const auto rates = burn.rates("participa", objective::requests_served, now);
    std::cout << "burn_5m=" << rates.over_5_min << " burn_1h=" << rates.over_1_h
              << " fast=" << rates.fast() << " slow=" << rates.slow() << '\n';
    return rates.fast() ? 0 : 1;
}
