#pragma once

#include "poplarpitch/entry/call_outcome.h"
#include "poplarpitch/http/http_response.h"

#include <utility>

namespace poplarpitch {

/// How a request stands after its attempts so far.
struct call_result {
    call_outcome outcome = call_outcome::not_run;
    http_response response;
};

/// Returns how a request stands when `next` follows `last`. That an attempt ran nowhere says nothing of the
/// one before it: what may have run, or was answered, stays so. Thread safety: any thread.
[[nodiscard]] inline call_result combine_attempts(call_result&& last, call_result&& next) {
    const bool replaces_last = next.outcome != call_outcome::not_run || last.outcome == call_outcome::not_run;
    return replaces_last ? std::move(next) : std::move(last);
}

} // namespace poplarpitch
