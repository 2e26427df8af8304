#pragma once

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

class session_registry;
class state_machine;

/// Builds the answer to a renewal: the changes for this entry since the revision it knows. Its size is
/// proportional to the changes, not to the fleet. Thread safety: none; called on the control thread.
[[nodiscard]] wire::renew_answer make_renew_answer(const state_machine& state,
                                                   const session_registry& sessions,
                                                   const wire::renew_request& request);

} // namespace poplarpitch
