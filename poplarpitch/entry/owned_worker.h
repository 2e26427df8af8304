#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/entry/owned_task.h"
#include "poplarpitch/policy/relief_escalation.h"
#include "poplarpitch/policy/worker_health.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// A request that got no complete answer. Its slot counts as occupied until the worker's list no longer names
/// it.
struct doubtful_request {
    std::string request;
    std::uint64_t sequence = 0; ///< only announcements with a higher number may release it

    friend auto operator<=>(const doubtful_request&, const doubtful_request&) = default;
};

/// Position of a worker in one service's routing table.
struct routing_row {
    std::uint32_t service = 0;
    std::size_t row = 0;

    friend auto operator<=>(const routing_row&, const routing_row&) = default;
};

/// A worker that this entry owns, with its ledger and all state known about it.
struct owned_worker {
    std::string id;
    std::string address;
    std::string data_centre;
    std::uint32_t number = 0; ///< dense index for the models
    std::uint64_t epoch = 0;
    std::uint64_t incarnation = 0;        ///< of its process; 0 until it has announced itself here
    std::uint64_t logged_incarnation = 0; ///< incarnation that control has recorded
    std::uint64_t sequence = 0;           ///< of its newest announcement
    std::vector<std::string> services;
    worker_ledger ledger{};
    worker_health health{};
    relief_escalation relief{};
    time_point last_heard{};
    bool is_leaving = false;
    bool is_silent = false; ///< while silent, its task leases are not renewed and nothing is started on it
    bool is_silent_in_log = false; ///< control's record marks it as silent
    time_point marked{};           ///< when the last mark was raised; zero when a mark is due at once
    int outstanding = 0;           ///< requests in flight
    double slowdown = 1;           ///< running mean of the ratio of measured to expected latency
    resources request_peak;        ///< recent peak of the resources that requests use
    std::map<grant_id, doubtful_request>
        doubtful; ///< by grant, because a retry may reach the same worker under the same request id
    std::map<std::string, owned_task> tasks; ///< by job
    std::vector<routing_row> rows;

    /// Returns true when requests and tasks may be sent to the worker. Thread safety: none.
    [[nodiscard]] bool is_usable() const { return ledger.is_open() && !is_leaving && !is_silent; }
};

} // namespace poplarpitch
