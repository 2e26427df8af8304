#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// What of the leader's state is wrong beyond single tasks.
enum class difference_kind : std::uint8_t {
    reserved,    ///< what is reserved on a worker is not the sum of its runs
    hold,        ///< the outcome of a hold is overdue
    fence_raise, ///< the commit of a raise of the fence is overdue
    advice,      ///< the outcome of a call to the advice service is overdue
};

/// Returns the kind's name for logs. Thread safety: any thread.
constexpr const char* get_difference_name(difference_kind kind) {
    switch (kind) {
    case difference_kind::reserved:
        return "reserved";
    case difference_kind::hold:
        return "hold";
    case difference_kind::fence_raise:
        return "fence_raise";
    case difference_kind::advice:
        return "advice";
    }
    return "unknown";
}

/// Something that keeps workers from being used because of a fault of the leader.
struct leader_difference {
    difference_kind kind = difference_kind::reserved;
    worker_incarnation worker; ///< empty where it concerns no single worker
    duration overdue{};        ///< since the end of its time; zero for `reserved`

    friend auto operator<=>(const leader_difference&, const leader_difference&) = default;
};

} // namespace poplarpitch
