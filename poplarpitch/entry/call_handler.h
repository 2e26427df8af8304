#pragma once

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/entry/call_info.h"
#include "poplarpitch/entry/call_result.h"
#include "poplarpitch/entry/hedge_timer.h"
#include "poplarpitch/entry/request_grant.h"
#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/transport/http_exchange.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace poplarpitch {

class control_client;
class entry_state;
class http_cancel_token;
class http_client_pool;
class metrics_registry;
class session_lease;
struct forward_decision;

/// Handles a caller's request: records its intent, acquires a slot, dispatches and retries it, and returns
/// the answer. The outcome is always one of done, not-run and unknown. It is not-run only when no byte was
/// sent or the target itself refused the request. Thread safety: any thread, for all methods.
class call_handler {
public:
    /// Preconditions: all referenced objects outlive the handler. `prefix` makes request ids unique across
    /// entries and restarts.
    call_handler(entry_state& state, http_client_pool& targets, control_client& control,
                 const session_lease& lease, metrics_registry& metrics, std::string entry_id,
                 std::string prefix);

    /// Handles a request to /v1/call/...
    http_response handle(const http_request& request);

private:
    /// Measurements of one call for the metrics, and its attempts so far.
    struct call_record {
        duration queue_wait{};
        int attempts = 0;
        int lost_attempts = 0; ///< attempts without an answer, at this entry and earlier ones
    };

    call_result run(const call_info& call, const http_request& request, call_record& record);
    call_result run_with_intent(const call_info& call, const http_request& request, call_record& record);
    call_result run_attempts(const call_info& call, const http_request& request, call_record& record);
    call_result forward(const call_info& call, const http_request& request, const forward_decision& decision,
                        int lost_attempts);
    /// The result of one attempt, and whether a retry is allowed after it.
    struct attempt_outcome {
        call_result result;
        bool may_retry = false;
        int lost = 0; ///< attempts without an answer from their target
    };
    attempt_outcome send_attempt(const call_info& call, const http_request& request,
                                 const request_grant& grant, bool is_retry, http_cancel_token* cancel);
    /// Sends an attempt and, when its answer is late, a second copy to another worker. Returns the first good
    /// answer.
    attempt_outcome send_hedged(const call_info& call, const http_request& request,
                                const request_grant& grant, duration delay);
    attempt_outcome read_attempt(const call_info& call, const request_grant& grant, http_exchange exchange,
                                 duration latency, bool is_cancelled);
    [[nodiscard]] http_request make_target_request(const call_info& call, const http_request& request,
                                                   const request_grant& grant) const;
    /// Records the outcome of the key that was begun under `own_id`.
    void finish_intent(const std::string& key, const std::string& own_id, const call_result& result);
    /// Returns a request id that no entry has created before.
    std::string make_id();
    static call_result make_refused(int status, const std::string& code, const std::string& message,
                                    duration retry_after);
    static call_result make_unknown(const std::string& code, const std::string& message);
    void observe(const call_info& call, const call_result& result, const call_record& record, duration total);

    entry_state& m_state;
    http_client_pool& m_targets;
    control_client& m_control;
    const session_lease& m_lease;
    metrics_registry& m_metrics;
    const std::string m_entry_id;
    const std::string m_prefix;
    const system_clock m_clock{};
    std::atomic<std::uint64_t> m_next_request{1};
    hedge_timer m_hedge_timer; ///< declared last because its threads use the members above
};

} // namespace poplarpitch
