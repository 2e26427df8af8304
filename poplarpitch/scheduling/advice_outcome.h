#pragma once

#include <compare>
#include <string>
#include <vector>

namespace poplarpitch {

/// A worker that is allowed to run a step, with the ticket that a start there must carry.
struct advice_ticket {
    std::string worker;
    std::string ticket;

    friend auto operator<=>(const advice_ticket&, const advice_ticket&) = default;
};

/// The advice service's answer about the workers that it was asked about.
struct advice_outcome {
    bool is_answered = false; ///< false: the service was busy or unreachable, and nothing is known
    std::vector<advice_ticket> allowed;

    friend bool operator==(const advice_outcome&, const advice_outcome&) = default;
};

} // namespace poplarpitch
