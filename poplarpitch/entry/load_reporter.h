#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace poplarpitch {

/// Picks the workers' loads that are worth sending with a renewal: those that changed so much that a
/// placement could come out differently, all of them every few seconds, and all of them to a new leader, who
/// knows none. The leader keeps the last load of each worker. Thread safety: none, as for all methods.
class load_reporter {
public:
    /// Takes the term of the leader that granted the last renewal; a change makes everything new.
    void set_term(std::uint64_t term);
    /// Returns true when `load` is to be sent, and takes it as sent.
    bool mark_sent_if_due(const wire::worker_load& load, time_point now);
    /// Forgets a worker; its next load is sent.
    void forget(const std::string& worker);

private:
    struct sent_load {
        wire::worker_load load;
        time_point at{};
    };

    std::map<std::string, sent_load> m_sent; ///< by worker
    std::uint64_t m_term = 0;
};

} // namespace poplarpitch
