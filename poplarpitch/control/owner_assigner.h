#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class fleet_table;

/// Gives workers to entries: free ones at once, to the entry of the same data centre with the fewest, and
/// from the entry with the most to the one with the fewest one at a time, so that an entry that joins takes
/// over gradually and at no moment more than a few workers wait for their first complete report. Thread
/// safety: none, as for all methods.
class owner_assigner {
public:
    /// Returns the changes of owner that are due.
    std::vector<wire::command> run(const fleet_table& fleet, time_point now);

private:
    using owned_counts = std::map<std::string, std::size_t>; ///< by entry that may get workers

    [[nodiscard]] static owned_counts count_owned(const fleet_table& fleet);
    [[nodiscard]] static std::string pick_owner(const fleet_table& fleet, const wire::worker& worker,
                                                const owned_counts& counts);
    void rebalance(const fleet_table& fleet, const owned_counts& counts, time_point now,
                   std::vector<wire::command>& commands);

    time_point m_last_rebalance{};
};

} // namespace poplarpitch
