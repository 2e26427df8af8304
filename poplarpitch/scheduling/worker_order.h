#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/hold_answer.h"
#include "poplarpitch/scheduling/order_failure.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_life.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarpitch {

struct step_job;

/// What every order to a worker names.
struct order_target {
    worker_life worker; ///< the life it is meant for; a worker of another id refuses
    std::string address;
    std::uint64_t fence = 0; ///< rises with each leader and each life of the worker; it refuses a lower one
    bool is_fresh = false;   ///< use a new connection
    duration timeout{};

    friend bool operator==(const order_target&, const order_target&) = default;
};

/// Prolongs the lease, acknowledges ends, and asks for the worker's list.
struct hold_order {
    order_target target;
    std::optional<std::int64_t>
        until_ms;                   ///< end of the lease on the worker's clock; nothing while that is unknown
    std::uint64_t acknowledged = 0; ///< ends up to this number may be forgotten
    duration wait{};                ///< the worker answers at the next end, at the latest after this

    friend bool operator==(const hold_order&, const hold_order&) = default;
};

/// Starts a run. Sent twice it starts once.
struct start_order {
    order_target target;
    run_key run;
    std::shared_ptr<const step_job> job; ///< for its payload
    std::int64_t until_ms = 0;
    std::string saved;  ///< checkpoint to go on from; empty for none
    std::string ticket; ///< from the advice service; empty for none

    friend bool operator==(const start_order&, const start_order&) = default;
};

/// Stops a run; one that is not there yet never starts.
struct stop_order {
    order_target target;
    run_key run;

    friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Lets a run work at a share of its speed.
struct pace_order {
    order_target target;
    run_key run;
    int percent = 100;

    friend bool operator==(const pace_order&, const pace_order&) = default;
};

/// Asks the advice service which of these workers may run a step. It answers one such call at a time.
struct advise_order {
    std::uint64_t fence = 0; ///< term of the leader that asks
    step_key step;
    std::vector<worker_life> workers;
    duration timeout{};

    friend bool operator==(const advise_order&, const advise_order&) = default;
};

using worker_order = std::variant<hold_order, start_order, stop_order, pace_order, advise_order>;

/// A worker's answer to an order without a list.
struct order_answer {
    std::optional<order_failure> failure; ///< nothing: carried out
    std::int64_t clock_ms = 0;            ///< the worker's clock; 0 when it did not say

    friend auto operator<=>(const order_answer&, const order_answer&) = default;
};

/// A worker's answer to a hold.
struct hold_outcome {
    std::optional<order_failure> failure;
    hold_answer answer; ///< empty with a failure

    friend bool operator==(const hold_outcome&, const hold_outcome&) = default;
};

} // namespace poplarpitch
