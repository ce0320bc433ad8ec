// What an entry tells a host's relay process about the operator's intent.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/evacuation_table.hpp>
#include <arbutusport/relay/messages.hpp>

#include <optional>

namespace arbutusport::relay {

/// @brief How much longer the host is cold, by its registration.
duration cold_left(const directory::host& host, time_point now);

/// @brief Returns the directive of a hello to the host's process; empty if
/// there is nothing to state. `limits_cold_hosts`: the deployment has limits
/// for cold hosts. If the limit of a cold host is not known yet, the rate is 0.
///
/// The position is the one of the last change of the data centre's evacuation;
/// the rate and the remaining time have none.
std::optional<host_directive>
make_directive(const directory::host& host, const directory& known,
               const evacuation_table& evacuations, bool limits_cold_hosts,
               time_point now);

} // namespace arbutusport::relay
