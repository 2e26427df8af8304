#pragma once

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

class state_machine;

/// Builds the answer to a query from the replicated state. The caller adds the fields of the node itself.
/// Thread safety: none; called on the control thread.
[[nodiscard]] wire::query_answer make_query_answer(const state_machine& state,
                                                   const wire::query_request& request);

} // namespace poplarpitch
