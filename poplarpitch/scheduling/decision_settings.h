#pragma once

#include <compare>
#include <map>
#include <string>

namespace poplarpitch {

/// Switches of the decisions that answer hard load. All are off unless a deployment's settings turn them on.
struct decision_settings {
    bool refuse_late = false;  ///< refuse jobs that are forecast to end past their late limit
    bool keep_learned = false; ///< replicate what the leader learns, so that a new leader starts with it
    bool move_from_slow =
        false;                ///< avoid workers that are slow compared with their pool, and move tasks away
    bool fair_shares = false; ///< share scarce room between queues and data centres of callers
    std::map<std::string, double> share_weights{}; ///< by queue, positive; a queue that is not listed has 1

    friend auto operator<=>(const decision_settings&, const decision_settings&) = default;
};

} // namespace poplarpitch
