#pragma once

#include <cstdint>

namespace poplarpitch {

/// How a run ended. The numeric values are stored in the log.
enum class run_end : std::uint8_t {
    done = 1,
    failed = 2,        ///< by its own fault or the worker's; counts against the queue's `max_attempts`
    stopped = 3,       ///< by the leader's order
    lease_expired = 4, ///< its worker's lease expired
    gang_broken = 5,   ///< another member of its gang ended
    gang_timeout = 6,  ///< it waited too long for the other members of its gang
    not_started = 7,   ///< it certainly never ran and never will
    lost = 8,          ///< its worker is gone, or was unreachable until the lease had certainly expired
};

/// Returns the name of the end in logs. Thread safety: any thread.
constexpr const char* get_end_name(run_end end) {
    switch (end) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lease_expired:
        return "lapsed";
    case run_end::gang_broken:
        return "broken";
    case run_end::gang_timeout:
        return "alone";
    case run_end::not_started:
        return "not_started";
    case run_end::lost:
        return "lost";
    }
    return "unknown";
}

} // namespace poplarpitch
