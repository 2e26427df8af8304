#pragma once

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

class state_machine;

/// Answers a query out of the replicated state; what concerns the node itself is added by the caller.
/// Thread safety: none; called on the control thread.
[[nodiscard]] wire::query_answer make_query_answer(const state_machine& state,
                                                   const wire::query_request& request);

} // namespace poplarpitch
