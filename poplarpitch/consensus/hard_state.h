#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>

namespace poplarpitch {

/// State that a node must store on disk before it responds: its term and its vote in that term.
struct hard_state {
    log_term term = 0;
    node_id vote = 0; ///< node that got the vote; 0 for none

    friend auto operator<=>(const hard_state&, const hard_state&) = default;
};

} // namespace poplarpitch
