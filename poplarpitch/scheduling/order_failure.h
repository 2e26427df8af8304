#pragma once

#include <cstdint>

namespace poplarpitch {

/// Why an order to a worker was not carried out, or why its result is unknown.
enum class order_failure : std::uint8_t {
    unreachable = 1, ///< no connection; nothing was sent
    not_sent,        ///< certainly not sent; nothing is known about the worker
    unanswered,      ///< sent without an answer: it may have been carried out, or may still be, seconds later
    other_incarnation,     ///< another incarnation of a worker answers at that address
    lower_fence,           ///< the worker has seen a higher fence
    stale_run,             ///< a run with the same or a higher number was stopped or ended there
    lease_already_expired, ///< the lease in the order had expired
    no_capacity,
    no_ticket,
    unhealthy, ///< the worker refuses all orders at present and did not carry this one out
    malformed, ///< the worker cannot parse the order
};

/// Returns the name of the failure in logs. Thread safety: any thread.
constexpr const char* get_failure_name(order_failure failure) {
    switch (failure) {
    case order_failure::unreachable:
        return "unreachable";
    case order_failure::not_sent:
        return "not_sent";
    case order_failure::unanswered:
        return "unanswered";
    case order_failure::other_incarnation:
        return "other_life";
    case order_failure::lower_fence:
        return "lower_fence";
    case order_failure::stale_run:
        return "old_run";
    case order_failure::lease_already_expired:
        return "late_lease";
    case order_failure::no_capacity:
        return "no_room";
    case order_failure::no_ticket:
        return "no_ticket";
    case order_failure::unhealthy:
        return "unhealthy";
    case order_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace poplarpitch
