#pragma once

#include "poplarpitch/entry/call_outcome.h"
#include "poplarpitch/http/http_response.h"

#include <utility>

namespace poplarpitch {

/// The result of a request after the attempts so far.
struct call_result {
    call_outcome outcome = call_outcome::not_run;
    http_response response;
};

/// Returns the combined result of a request when attempt `next` follows `last`. An attempt that did not run
/// does not change the result of the one before it, which may have run or may have been answered. Thread
/// safety: any thread.
[[nodiscard]] inline call_result combine_attempts(call_result&& last, call_result&& next) {
    const bool replaces_last = next.outcome != call_outcome::not_run || last.outcome == call_outcome::not_run;
    return replaces_last ? std::move(next) : std::move(last);
}

} // namespace poplarpitch
