#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// Permission to send one request to one worker.
struct request_grant {
    grant_id id = 0;
    std::string worker;
    std::string address;
    std::uint64_t epoch = 0;
    std::string service;
    std::string tenant;
    std::string request_id;
    time_point started{};
    double interference = 1; ///< predicted factor of the tasks that run beside it
    duration hedge_after{};  ///< when a second copy is due; zero for never
    int in_flight = 0;       ///< requests of the service that ran when it started

    friend auto operator<=>(const request_grant&, const request_grant&) = default;
};

/// How an attempt at a worker ended.
enum class attempt_result : std::uint8_t {
    answered,      ///< the worker answered; the slot is free
    failed,        ///< the worker answered with a fault of its own (5xx)
    refused,       ///< the worker did not run it
    not_sent,      ///< no byte left
    abandoned,     ///< broken off because another copy was faster: as maybe_running, but nobody is to blame
    maybe_running, ///< no whole answer: the slot counts as taken until the worker reports otherwise
};

} // namespace poplarpitch
