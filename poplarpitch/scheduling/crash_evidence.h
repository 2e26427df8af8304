#pragma once

#include <cstdint>

namespace poplarpitch {

/// What the loss of a run's worker says of the run. The numbers stand in the log.
enum class crash_evidence : std::uint8_t {
    none = 0,   ///< no crash, or the run was surely not there: it left, was cut off, never got the start
    shared = 1, ///< the worker crashed, and other tasks there may be at fault as well
    clear = 2,  ///< the worker crashed, and no other task there is as likely to be at fault
};

/// Returns the evidence's name for logs. Thread safety: any thread.
constexpr const char* get_evidence_name(crash_evidence evidence) {
    switch (evidence) {
    case crash_evidence::none:
        return "none";
    case crash_evidence::shared:
        return "shared";
    case crash_evidence::clear:
        return "clear";
    }
    return "unknown";
}

} // namespace poplarpitch
