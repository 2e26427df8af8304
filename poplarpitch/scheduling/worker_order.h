#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/hold_answer.h"
#include "poplarpitch/scheduling/order_failure.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarpitch {

struct step_job;

/// The fields that every order to a worker has.
struct order_target {
    worker_incarnation worker; ///< the incarnation it is meant for; a worker with another id refuses it
    std::string address;
    std::uint64_t fence = 0; ///< fencing token: increases with each leader and each incarnation of the
                             ///< worker, which refuses a lower one
    bool use_new_connection = false;
    duration timeout{};

    friend bool operator==(const order_target&, const order_target&) = default;
};

/// A long poll that renews the lease, acknowledges the ends of runs and requests the worker's list of runs.
struct hold_order {
    order_target target;
    std::optional<std::int64_t>
        lease_end_ms; ///< end of the lease on the worker's clock; nothing while that clock is unknown
    std::uint64_t acknowledged_up_to = 0; ///< the worker may discard the ends of runs up to this number
    duration wait{};                      ///< the worker answers when the next run ends, or after this time

    friend bool operator==(const hold_order&, const hold_order&) = default;
};

/// Starts a run. Sending it twice starts the run once.
struct start_order {
    order_target target;
    run_key run;
    std::shared_ptr<const step_job> job; ///< for its payload
    std::int64_t lease_end_ms = 0;
    std::string checkpoint; ///< checkpoint to resume from; empty for none
    std::string ticket;     ///< from the advice service; empty for none

    friend bool operator==(const start_order&, const start_order&) = default;
};

/// Stops a run. A run whose start order arrives after the stop is not started.
struct stop_order {
    order_target target;
    run_key run;

    friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Limits the speed of a run to a percentage of full speed.
struct pace_order {
    order_target target;
    run_key run;
    int percent = 100;

    friend bool operator==(const pace_order&, const pace_order&) = default;
};

/// Asks the advice service which of these workers may run a step. The service handles one such call at a
/// time.
struct advice_request {
    std::uint64_t fence = 0;  ///< term of the leader that asks
    std::uint64_t number = 0; ///< of the call, counted by the leader
    step_key step;
    std::vector<worker_incarnation> workers;
    duration timeout{};

    friend bool operator==(const advice_request&, const advice_request&) = default;
};

/// An order to a worker, or a request to the advice service.
using worker_order = std::variant<hold_order, start_order, stop_order, pace_order, advice_request>;

/// A worker's answer to any order but a hold.
struct order_answer {
    std::optional<order_failure> failure; ///< nothing: the order was carried out
    std::int64_t clock_ms = 0;            ///< the worker's clock; 0 when not reported

    friend auto operator<=>(const order_answer&, const order_answer&) = default;
};

/// The outcome of an order. Only a hold has a list of runs in its answer.
struct order_outcome {
    std::optional<order_failure> failure;
    hold_answer answer; ///< empty with a failure

    friend bool operator==(const order_outcome&, const order_outcome&) = default;
};

} // namespace poplarpitch
