#pragma once

#include "poplarpitch/dispatch/dispatcher.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/net/memory_settings.h"
#include "poplarpitch/relay/relay_hub.h"
#include "poplarpitch/replica/replica.h"
#include "poplarpitch/scheduler/command_batcher.h"
#include "poplarpitch/scheduler/scheduler_settings.h"
#include "poplarpitch/scheduling/job_state_machine.h"

namespace poplarpitch {

/// The components of a scheduler instance that its services share. All are used on the loop's thread only.
struct scheduler_parts {
    explicit scheduler_parts(const scheduler_settings& chosen, replica_handler handler)
        : settings(chosen), memory(get_peer_memory_limit(settings.memory_limit)),
          log(loop, memory, settings.replica, std::move(handler)), batcher(loop, log, job_state),
          dispatch(settings.dispatch, job_state), caller(loop, memory, settings.caller),
          relays(settings.relay) {}

    scheduler_settings settings;
    memory_budget memory; ///< for all that is held for peers
    event_loop loop;
    job_state_machine job_state;
    replica log;
    command_batcher batcher;
    dispatcher dispatch;
    http_caller caller;
    relay_hub relays; ///< in use while this instance leads

    /// Returns true when this instance leads and holds the leader's lease, so that it may answer for the
    /// whole system. Thread safety: the loop's thread.
    [[nodiscard]] bool may_answer() const { return log.is_leading() && log.has_lease(); }
};

} // namespace poplarpitch
