#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace poplarpitch {

/// Selects the worker loads to send with a renewal: those that changed enough to affect a placement, all of
/// them every few seconds, and all of them to a new leader, which knows none. The leader keeps the last load
/// of each worker. Thread safety: none, for all methods.
class load_reporter {
public:
    /// Sets the term of the leader that granted the last renewal. When the term changes, all loads are sent
    /// again.
    void set_term(std::uint64_t term);
    /// Returns true when `load` has to be sent, and records it as sent.
    bool mark_sent_if_due(const wire::worker_load& load, time_point now);
    /// Forgets the last load sent for a worker; its next load is sent.
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
