// The routing table of one service. It depends on the service's hosts only,
// so that every process computes the same table at the same generation.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace arbutusport::routing {

inline constexpr std::size_t slot_count = 4096;
inline constexpr std::size_t ranks_per_slot = wire::max_candidates;

slot_index slot_of(const flow_key& flow);

/// @brief Weighted rendezvous score of a host in a slot. The host with the
/// greatest score ranks first. Other hosts do not affect the score.
double score(slot_index slot, process_id host, double weight);

class slot_table {
public:
    slot_table() = default;
    /// @brief Ranks the hosts of the service that are not `out`. Each slot has
    /// at least two active hosts if the service has as many. A slot whose
    /// ranked hosts are all dead is not served until the configuration marks
    /// them as `out`.
    explicit slot_table(const records::service& service);

    /// @brief Indexes into the service's `hosts` in rank order. Shorter than
    /// ranks_per_slot if the service has fewer hosts.
    std::span<const std::uint16_t> ranks(slot_index slot) const;

private:
    // slot_count rows of `row_width_` host indexes.
    std::vector<std::uint16_t> rows_;
    std::size_t row_width_ = 0;
};

/// @brief Digest of the hosts with their order, ids, addresses, weights and
/// states. Services with equal digests have equal tables. Never 0.
std::uint64_t hosts_digest(const records::service& service);

/// @brief The table of a service. Shares a table that is in use, so that a
/// service whose hosts did not change is not ranked again.
std::shared_ptr<const slot_table>
shared_slot_table(const records::service& service);

} // namespace arbutusport::routing
