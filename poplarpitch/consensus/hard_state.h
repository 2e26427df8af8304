#pragma once

#include "poplarpitch/consensus/node_id.h"

#include <compare>

namespace poplarpitch {

/// What a node must have on disk before it answers: its term and whom it voted for in it.
struct hard_state {
    log_term term = 0;
    node_id vote = 0;

    friend auto operator<=>(const hard_state&, const hard_state&) = default;
};

} // namespace poplarpitch
