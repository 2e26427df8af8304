#pragma once

#include <cstdint>

namespace poplarpitch {

/// What the loss of a run's worker says of the run. The numbers stand in the log.
enum class crash_evidence : std::uint8_t {
    none = 0,     ///< no crash, or the run was surely not there: it left, was cut off, never got the start
    possible = 1, ///< the worker crashed, and the run may have been there: its start had no answer
    shared = 2,   ///< the worker crashed with the run there, and other tasks may be at fault as well
    likely = 3,   ///< it was alone there, or had just begun and was the only one that was at a crash before
    clear = 4,    ///< it was alone there and had just begun, now and at the crash before
};

/// Returns the evidence's name for logs. Thread safety: any thread.
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
