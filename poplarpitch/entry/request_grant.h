#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/worker_ledger.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// The permission to send one request to one worker.
struct request_grant {
    grant_id id = 0;
    std::string worker;
    std::string address;
    std::uint64_t epoch = 0;
    std::string service;
    std::string tenant;
    std::string request_id;
    time_point started{};
    double interference = 1; ///< predicted latency factor due to the tasks on the same worker
    duration hedge_after{};  ///< delay until a second copy is sent; zero for never
    int in_flight = 0;       ///< requests of the service that were running when it started

    friend auto operator<=>(const request_grant&, const request_grant&) = default;
};

/// The result of an attempt at a worker.
enum class attempt_result : std::uint8_t {
    answered,  ///< the worker answered; its slot is free
    failed,    ///< the worker answered with an error of its own (5xx)
    refused,   ///< the worker did not run it
    not_sent,  ///< no byte was sent
    abandoned, ///< cancelled because another copy was faster; like maybe_running, but the worker's health is
               ///< not affected
    maybe_running, ///< no complete answer; the slot counts as occupied until the worker reports otherwise
};

} // namespace poplarpitch
