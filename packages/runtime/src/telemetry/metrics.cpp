// Storage of metrics and their text exposition format.

#include <arbutusport/telemetry/metrics.hpp>

#include <array>
#include <sstream>

namespace arbutusport::telemetry {

namespace {

namespace acc = boost::accumulators;

// Quantiles in the order in which the accumulator returns them.
constexpr std::array<double, 3> probabilities{0.5, 0.9, 0.99};
// The estimator has 2n+3 markers; with fewer samples it has no quantiles yet.
constexpr std::uint64_t min_samples = 2 * probabilities.size() + 3;

counter& find_or_create(std::map<std::string, std::unique_ptr<counter>>& map,
                        const std::string& name) {
    auto& entry = map[name];
    if (!entry)
        entry = std::make_unique<counter>(0);
    return *entry;
}

void write_latency(std::ostream& out, const std::string& name,
                   const latency_statistics::summary& it) {
    out << name << "{quantile=\"0.5\"} " << it.median_ms << '\n'
        << name << "{quantile=\"0.9\"} " << it.p90_ms << '\n'
        << name << "{quantile=\"0.99\"} " << it.p99_ms << '\n'
        << name << "_sum " << it.mean_ms * static_cast<double>(it.count) << '\n'
        << name << "_count " << it.count << '\n';
}

} // namespace

latency_statistics::latency_statistics()
    : accumulators_(acc::extended_p_square_probabilities = probabilities) {}

void latency_statistics::add(duration latency) {
    const double ms = static_cast<double>(latency.count()) / 1000.0;
    const std::lock_guard lock(mutex_);
    accumulators_(ms);
}

latency_statistics::summary latency_statistics::read() const {
    const std::lock_guard lock(mutex_);
    summary out;
    out.count = acc::count(accumulators_);
    if (out.count == 0)
        return out;
    out.mean_ms = acc::mean(accumulators_);
    out.max_ms = acc::max(accumulators_);
    if (out.count < min_samples) {
        out.median_ms = out.mean_ms;
        out.p90_ms = out.p99_ms = out.max_ms;
        return out;
    }
    const auto quantiles = acc::extended_p_square(accumulators_);
    out.median_ms = quantiles[0];
    out.p90_ms = quantiles[1];
    out.p99_ms = quantiles[2];
    return out;
}

counter& metrics::count(const std::string& name, const labels& series_labels) {
    std::string text;
    for (const auto& [label, value] : series_labels)
        if (!value.empty())
            text += (text.empty() ? "{" : ",") + label + "=\"" + value + '"';
    if (!text.empty())
        text += '}';
    const std::lock_guard lock(mutex_);
    return find_or_create(counters_[name], text);
}

void metrics::describe(const std::string& name, const std::string& help) {
    const std::lock_guard lock(mutex_);
    help_[name] = help;
}

void metrics::write_metadata(std::ostream& out, const std::string& name,
                             const char* type) const {
    if (const auto it = help_.find(name); it != help_.end())
        out << "# HELP " << name << ' ' << it->second << '\n';
    out << "# TYPE " << name << ' ' << type << '\n';
}

counter& metrics::drop_counter(const std::string& reason) {
    const std::lock_guard lock(mutex_);
    return find_or_create(drops_, reason);
}

void metrics::add_gauge(const std::string& name, std::function<double()> read) {
    const std::lock_guard lock(mutex_);
    gauges_[name] = std::move(read);
}

latency_statistics& metrics::latency(const std::string& name) {
    const std::lock_guard lock(mutex_);
    auto& entry = latencies_[name];
    if (!entry)
        entry = std::make_unique<latency_statistics>();
    return *entry;
}

std::map<std::string, std::uint64_t> metrics::drops_by_reason() const {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::uint64_t> out;
    for (const auto& [reason, n] : drops_)
        out[reason] = n->load(std::memory_order_relaxed);
    return out;
}

std::string metrics::text() const {
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    out.precision(15);
    for (const auto& [name, series] : counters_) {
        write_metadata(out, name, "counter");
        for (const auto& [labels, n] : series)
            out << name << labels << ' ' << *n << '\n';
    }
    write_metadata(out, "arbutus_drops_total", "counter");
    for (const auto& [reason, n] : drops_)
        out << "arbutus_drops_total{reason=\"" << reason << "\"} " << *n
            << '\n';
    for (const auto& [name, read] : gauges_) {
        write_metadata(out, name, "gauge");
        out << name << ' ' << read() << '\n';
    }
    for (const auto& [name, it] : latencies_) {
        write_metadata(out, name, "summary");
        write_latency(out, name, it->read());
    }
    return out.str();
}

} // namespace arbutusport::telemetry
