#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

class fleet_table;

/// What an entry told with its last renewal.
struct session_report {
    std::uint64_t incarnation = 0;
    time_point deadline{}; ///< the session has ended for its holder before this
    std::uint64_t known_config = 0;
    wire::entry_digest digest;
    std::map<std::string, wire::worker_load> loads; ///< by worker
    std::vector<wire::interference_sample> interference;
};

/// The leader's soft state on entry sessions: renewals are not in the log. A new leader cannot know what the
/// last one granted, so it gives every session one full lease before it may expire. Thread safety: none, as
/// for all methods.
class session_registry {
public:
    /// Starts a term of leadership. `lease` is the longest that the last leader can have granted, margin
    /// included.
    void start(const fleet_table& fleet, duration lease, time_point now);
    /// Takes a renewal, granting `lease` from now.
    void renew(const wire::renew_request& request, duration lease, time_point now);
    /// Forgets a session that was closed.
    void forget(const std::string& entry);
    /// Returns the sessions whose deadline has passed.
    [[nodiscard]] std::vector<wire::close_session> get_expired(time_point now) const;

    /// Returns the reports, by entry.
    [[nodiscard]] const std::map<std::string, session_report>& get_reports() const { return m_reports; }
    /// Returns what the owner told of a worker, or null.
    [[nodiscard]] const wire::worker_load* find_load(const std::string& entry,
                                                     const std::string& worker) const;

private:
    std::map<std::string, session_report> m_reports;
};

} // namespace poplarpitch
