#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace poplarpitch {

/// A kind of disruption of a long_running_world.
enum class disruption_kind : std::uint8_t {
    loss,            ///< workers are gone for good; orders to them get no answer
    loss_with_reset, ///< workers are gone for good; open connections are reset and new ones refused
    restart,         ///< workers end with a reset and start again as new incarnations
    failures,        ///< workers fail every run soon after its start
    slow_answers,    ///< workers carry out orders at once and answer late, or after the order's timeout
    refused_starts,  ///< workers refuse starts for want of room
    unhealthy,       ///< workers refuse all orders
    unsent_orders,   ///< a relay reports the orders to its workers as not sent
    cut,             ///< workers are unreachable in both directions and keep running
    one_way_cut,     ///< workers receive orders, while their answers and heartbeats are lost
    late_orders,     ///< half of the orders get no answer and are carried out seconds later
    drain,           ///< workers announce that they leave, and leave
    leader_change,   ///< the leader is lost and a new one starts, which knows only the replicated job state
};

/// Returns the kind's name. Thread safety: any thread.
constexpr const char* get_disruption_name(disruption_kind kind) {
    switch (kind) {
    case disruption_kind::loss:
        return "loss";
    case disruption_kind::loss_with_reset:
        return "loss_with_reset";
    case disruption_kind::restart:
        return "restart";
    case disruption_kind::failures:
        return "failures";
    case disruption_kind::slow_answers:
        return "slow_answers";
    case disruption_kind::refused_starts:
        return "refused_starts";
    case disruption_kind::unhealthy:
        return "unhealthy";
    case disruption_kind::unsent_orders:
        return "unsent_orders";
    case disruption_kind::cut:
        return "cut";
    case disruption_kind::one_way_cut:
        return "one_way_cut";
    case disruption_kind::late_orders:
        return "late_orders";
    case disruption_kind::drain:
        return "drain";
    case disruption_kind::leader_change:
        return "leader_change";
    }
    return "unknown";
}

/// A disruption of some workers, or of the leader.
struct simulated_disruption {
    disruption_kind kind = disruption_kind::loss;
    duration delay{};  ///< from the start of the former disruption
    duration length{}; ///< ignored for a loss; of a leader change: the time without a leader
    int percent = 0;   ///< share of the workers; ignored for a leader change

    friend auto operator<=>(const simulated_disruption&, const simulated_disruption&) = default;
    friend std::ostream& operator<<(std::ostream& out, const simulated_disruption& item) {
        return out << get_disruption_name(item.kind) << " after " << to_milliseconds(item.delay)
                   << " ms, for " << to_milliseconds(item.length) << " ms, of " << item.percent << "%";
    }
};

} // namespace poplarpitch
