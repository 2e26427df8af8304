#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// On what ground a run is taken for ended.
enum class end_reason : std::uint8_t {
    unknown,              ///< a former leader proposed the end
    listed_end,           ///< its worker lists how it ended
    not_listed,           ///< it was there when its worker was asked for a list, which lacks it
    never_came,           ///< a former leader's, or of a former life, that a list under the own fence lacks
    stop_answered,        ///< its worker had taken the stop when it was asked for a list, which lacks it
    given_back,           ///< its start was surely not sent or was refused
    lease_lapsed,         ///< its worker was out of reach until the lease had surely lapsed
    another_life_answers, ///< another life answered an order to its worker
    started_again,        ///< a later life of its worker answered, and the run may not come there
};

/// Returns the ground's name for logs. Thread safety: any thread.
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
    case end_reason::another_life_answers:
        return "another_life_answers";
    case end_reason::started_again:
        return "started_again";
    }
    return "unknown";
}

/// The word on which a run is taken for ended.
struct end_evidence {
    end_reason reason = end_reason::unknown;
    time_point requested_at{}; ///< when the worker was asked for it; zero where it was not asked
    std::uint64_t number = 0;  ///< of the end in its worker's list; 0 where it is not listed

    friend auto operator<=>(const end_evidence&, const end_evidence&) = default;
};

} // namespace poplarpitch
