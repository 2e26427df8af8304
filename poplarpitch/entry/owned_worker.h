#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"
#include "poplarpitch/entry/owned_task.h"
#include "poplarpitch/policy/relief_ladder.h"
#include "poplarpitch/policy/worker_health.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// A request whose end nobody saw: its slot counts as taken until the worker's list no longer names it.
struct doubtful_request {
    std::string request;
    std::uint64_t sequence = 0; ///< only announcements after this one may clear it

    friend auto operator<=>(const doubtful_request&, const doubtful_request&) = default;
};

/// Place of a worker in one service's routing table.
struct routing_row {
    std::uint32_t service = 0;
    std::size_t row = 0;

    friend auto operator<=>(const routing_row&, const routing_row&) = default;
};

/// A worker that this entry owns, with its ledger and all that is known of it.
struct owned_worker {
    std::string id;
    std::string address;
    std::string data_centre;
    std::uint32_t number = 0; ///< dense, for the models
    std::uint64_t epoch = 0;
    std::uint64_t incarnation = 0;        ///< of its process; 0 while it has not announced itself here
    std::uint64_t logged_incarnation = 0; ///< as control knows it
    std::uint64_t sequence = 0;           ///< of its last announcement
    std::vector<std::string> services;
    worker_ledger ledger{};
    worker_health health{};
    relief_ladder ladder{};
    time_point last_heard{};
    bool is_leaving = false;
    bool is_silent = false; ///< no lease is renewed and nothing is started
    int outstanding = 0;    ///< requests in flight
    double slowdown = 1;    ///< running mean of measured over expected latency
    resources request_peak; ///< recent peak of what requests take
    std::map<grant_id, doubtful_request>
        doubtful; ///< by grant: a retry may come to the same worker under the same request id
    std::map<std::string, owned_task> tasks; ///< by job
    std::vector<routing_row> rows;

    /// Returns true when requests may be sent to it. Thread safety: none.
    [[nodiscard]] bool is_usable() const { return ledger.is_open() && !is_leaving && !is_silent; }
};

} // namespace poplarpitch
