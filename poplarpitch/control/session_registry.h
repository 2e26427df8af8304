#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class fleet_table;

/// The last renewal of an entry's session.
struct session_report {
    std::uint64_t incarnation = 0;
    time_point deadline{}; ///< the entry stops using the session before this
    std::uint64_t known_config = 0;
    wire::entry_digest digest;
    std::map<std::string, wire::worker_load> loads; ///< by worker id; of this and earlier renewals
    std::vector<wire::interference_sample> interference;
};

/// The leader's in-memory state of entry sessions. Renewals are not replicated in the log, so a new leader
/// does not know what the last one granted. It gives every session one full lease before the session may
/// expire. Thread safety: none, as for all methods.
class session_registry {
public:
    /// Starts a term of leadership. `lease` is the longest lease that the last leader can have granted,
    /// including the drift margin.
    void start(const fleet_table& fleet, duration lease, time_point now);
    /// Records a renewal and extends the session's deadline to `now + lease`.
    void renew(const wire::renew_request& request, duration lease, time_point now);
    /// Removes the report of a closed session.
    void forget(const std::string& entry);
    /// Returns the sessions whose deadline has passed.
    [[nodiscard]] std::vector<wire::close_session> get_expired(time_point now) const;

    /// Returns the reports, by entry.
    [[nodiscard]] const std::map<std::string, session_report>& get_reports() const { return m_reports; }
    /// Returns the load that `entry` last reported for a worker, or null.
    [[nodiscard]] const wire::worker_load* find_load(const std::string& entry,
                                                     const std::string& worker) const;

private:
    std::map<std::string, session_report> m_reports;
};

} // namespace poplarpitch
