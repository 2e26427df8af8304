#pragma once

#include <compare>
#include <string>
#include <vector>

namespace poplarpitch {

/// A worker that may run a step, with the ticket that a start there has to carry.
struct advice_ticket {
    std::string worker;
    std::string ticket;

    friend auto operator<=>(const advice_ticket&, const advice_ticket&) = default;
};

/// What the advice service answered for the workers that were named.
struct advice_outcome {
    bool is_answered = false; ///< false: it was busy or out of reach, and nothing is known
    std::vector<advice_ticket> allowed;

    friend bool operator==(const advice_outcome&, const advice_outcome&) = default;
};

} // namespace poplarpitch
