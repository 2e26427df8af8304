#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class fleet_table;

/// Assigns workers to entries. A worker without an owner is assigned at once: to the entry with the fewest
/// workers, one in the worker's data centre if there is any. Otherwise it moves one worker at a time from the
/// entry with the most to the entry with the fewest. An entry that joins thus takes over gradually, and only
/// a few workers at a time wait for their first complete report. Thread safety: none, as for all methods.
class owner_assigner {
public:
    /// Returns the commands for the changes of owner that are due.
    std::vector<wire::command> run(const fleet_table& fleet, time_point now);

private:
    using owned_counts = std::map<std::string, std::size_t>; ///< by entry; without draining entries

    [[nodiscard]] static owned_counts count_owned(const fleet_table& fleet);
    [[nodiscard]] static std::string pick_owner(const fleet_table& fleet, const wire::worker& worker,
                                                const owned_counts& counts);
    void rebalance(const fleet_table& fleet, const owned_counts& counts, time_point now,
                   std::vector<wire::command>& commands);

    time_point m_last_rebalance{};
};

} // namespace poplarpitch
