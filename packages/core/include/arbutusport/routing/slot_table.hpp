// The routing table of one service: a pure function of the service's hosts,
// the same in every process at the same generation.
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

/// @brief Weighted rendezvous score of a host in a slot; the greatest ranks
/// first. Independent of the other hosts.
double score(slot_index slot, process_id host, double weight);

class slot_table {
public:
    slot_table() = default;
    /// @brief Ranks every host of `it` that is not `out`. Two ranks of each
    /// slot are active hosts if the service has as many. A slot whose ranked
    /// hosts are all dead is not served until they are published as out.
    explicit slot_table(const records::service& it);

    /// @brief Host indexes by rank into the service's `hosts`; shorter than
    /// ranks_per_slot if the service has fewer hosts.
    std::span<const std::uint16_t> ranks(slot_index slot) const;

private:
    // slot_count rows of `width_` host indexes.
    std::vector<std::uint16_t> rows_;
    std::size_t width_ = 0;
};

/// @brief Digest of the hosts, with their order, addresses, weights and
/// states. Services with equal digests have equal tables. Never 0.
std::uint64_t hosts_digest(const records::service& it);

/// @brief The table of a service; one that is in use already is shared, so
/// that a service whose hosts did not change is not ranked again.
std::shared_ptr<const slot_table> shared_slot_table(const records::service& it);

} // namespace arbutusport::routing
