#pragma once

#include <cstdint>

namespace poplarpitch {

/// How a run ended. The numbers stand in the log.
enum class run_end : std::uint8_t {
    done = 1,
    failed = 2,      ///< by its own fault or the worker's; counts against the queue's attempts
    stopped = 3,     ///< by our order
    lapsed = 4,      ///< its worker's lease ran out
    broken = 5,      ///< another member of its gang ended
    alone = 6,       ///< it waited too long for its gang
    not_started = 7, ///< it surely never ran and never will
    lost = 8,        ///< its worker is gone, or was out of reach until its lease had surely run out
};

/// Returns the end's name for logs. Thread safety: any thread.
constexpr const char* get_end_name(run_end end) {
    switch (end) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    case run_end::not_started:
        return "not_started";
    case run_end::lost:
        return "lost";
    }
    return "unknown";
}

} // namespace poplarpitch
