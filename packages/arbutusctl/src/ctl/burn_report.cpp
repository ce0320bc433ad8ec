// Burn rates over several hosts and their plot.

#include <arbutusport/ctl/burn_report.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace arbutusport::ctl {

namespace {

using nlohmann::json;

// Thresholds of multi-window alerts for a 30-day period: 2% of the budget in
// 1 h, 5% in 6 h. Source: "The Site Reliability Workbook", chapter 5.
constexpr double fast_burn = 14.4;
constexpr double slow_burn = 6;

// Lower bound of a budget: the budget of an objective of 1 is zero, which would
// make its burn rate infinite.
constexpr double min_budget = 1e-9;

void add_objective(const std::string& service, const json& it,
                   burn_table& table) {
    auto& burn = table[{service, it.at("name").get<std::string>()}];
    burn.target = it.at("target").get<double>();
    for (std::size_t i = 0; i < burn_windows.size(); ++i) {
        const json& counts = it.at("counts").at(burn_windows[i]);
        burn.counts[i].good += counts.at("good").get<std::uint64_t>();
        burn.counts[i].bad += counts.at("bad").get<std::uint64_t>();
    }
}

} // namespace

double objective_burn::rate(std::size_t window) const {
    const auto& it = counts[window];
    const auto total = it.good + it.bad;
    if (total == 0)
        return 0;
    const double bad = static_cast<double>(it.bad) / static_cast<double>(total);
    return bad / std::max(1.0 - target, min_budget);
}

const char* objective_burn::alert() const {
    if (rate(0) > fast_burn && rate(1) > fast_burn)
        return "fast";
    return rate(2) > slow_burn && rate(3) > slow_burn ? "slow" : "none";
}

result<void> add_slo_document(std::string_view text, const std::string& peer,
                              burn_table& table) {
    try {
        burn_table next = table;
        const json document = json::parse(text);
        for (const json& service : document.at("services"))
            for (const json& it : service.at("objectives"))
                add_objective(service.at("name").get<std::string>(), it, next);
        table = std::move(next);
    } catch (const json::exception& it) {
        return fail("read_slo", peer, it.what());
    }
    return {};
}

std::string make_burn_plot(const burn_table& table) {
    std::ostringstream out;
    out << "# Burn rates of error budgets; run with gnuplot.\n"
           "set terminal svg size 900,480\n"
           "set output 'burn.svg'\n"
           "set style data histograms\n"
           "set style fill solid\n"
           "set ylabel 'burn rate'\n"
           "set yrange [0:*]\n"
           "set key above\n"
           "set xtics rotate by -20 noenhanced\n"
           "$data << END\n"
           "objective";
    for (const char* it : burn_windows)
        out << ' ' << it;
    out << '\n';
    for (const auto& [key, burn] : table) {
        out << key.first << '/' << key.second;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
            out << ' ' << burn.rate(i);
        out << '\n';
    }
    out << "END\n"
           "plot for [i=2:5] $data using i:xtic(1) title columnheader(i), "
           "1 with lines title 'budget used up exactly'\n";
    return out.str();
}

} // namespace arbutusport::ctl
