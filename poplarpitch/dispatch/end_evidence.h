#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Why a run is considered ended.
enum class end_reason : std::uint8_t {
    unknown,    ///< a former leader proposed the end
    listed_end, ///< the worker lists the run as ended
    not_listed, ///< the run was on the worker when a list was requested, and the list lacks it
    never_came, ///< a list under this leader's fence lacks a run that was assigned under a former leader or
                ///< incarnation
    stop_answered, ///< the worker answered the stop before a list was requested, and the list lacks the run
    given_back,    ///< the start was certainly not sent, or the worker refused it
    lease_lapsed,  ///< the worker was unreachable until its lease had certainly expired
    another_incarnation_answers, ///< another incarnation answered an order sent to the worker
    started_again, ///< a later incarnation of the worker answered, and the run cannot start there
};

/// Returns the reason's name for logs. Thread safety: any thread.
constexpr const char* get_end_reason_name(end_reason reason) {
    switch (reason) {
    case end_reason::unknown:
        return "unknown";
    case end_reason::listed_end:
        return "listed_end";
    case end_reason::not_listed:
        return "not_listed";
    case end_reason::never_came:
        return "never_came";
    case end_reason::stop_answered:
        return "stop_answered";
    case end_reason::given_back:
        return "given_back";
    case end_reason::lease_lapsed:
        return "lease_lapsed";
    case end_reason::another_incarnation_answers:
        return "another_life_answers";
    case end_reason::started_again:
        return "started_again";
    }
    return "unknown";
}

/// The evidence on which a run is considered ended.
struct end_evidence {
    end_reason reason = end_reason::unknown;
    time_point requested_at{}; ///< when the worker's list was requested; zero where no list was requested
    std::uint64_t number = 0;  ///< sequence number of the end in the worker's list; 0 where it is not listed

    friend auto operator<=>(const end_evidence&, const end_evidence&) = default;
};

} // namespace poplarpitch
