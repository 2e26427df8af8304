#pragma once

#include <cstdint>

namespace poplarpitch {

/// How strongly the loss of a run's worker suggests that the run crashed it. The numeric values are stored in
/// the log.
enum class crash_evidence : std::uint8_t {
    none = 0,     ///< no crash (the worker left or was partitioned), or the run was certainly never started
    possible = 1, ///< the worker crashed and the run may have been on it: its start was not answered, or it
                  ///< may have ended before
    shared = 2,   ///< the worker crashed while the run was on it, but other tasks may be the cause as well
    likely = 3, ///< the run was alone on the worker; or it had just started and was the only run there whose
                ///< task had been on a worker that crashed before
    clear = 4,  ///< the run was alone on the worker and had just started, as had the task's runs at earlier
                ///< crashes
};

/// Returns the name of the evidence in logs. Thread safety: any thread.
constexpr const char* get_evidence_name(crash_evidence evidence) {
    switch (evidence) {
    case crash_evidence::none:
        return "none";
    case crash_evidence::possible:
        return "possible";
    case crash_evidence::shared:
        return "shared";
    case crash_evidence::likely:
        return "likely";
    case crash_evidence::clear:
        return "clear";
    }
    return "unknown";
}

} // namespace poplarpitch
