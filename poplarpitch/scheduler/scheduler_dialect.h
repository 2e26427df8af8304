#pragma once

#include "poplarpitch/http/http_request.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/json/document_result.h"
#include "poplarpitch/scheduling/advice_outcome.h"
#include "poplarpitch/scheduling/control_call.h"
#include "poplarpitch/scheduling/job_progress.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/worker_order.h"

#include <concepts>
#include <string>

namespace poplarpitch {

/// Converts between the requests and formats of a deployment's callers, workers and operators, and the
/// scheduler's own types.
template <class T>
concept scheduler_dialect = requires(const std::string& text, const http_request& request,
                                     const http_response& response, const hold_order& hold,
                                     const start_order& start, const stop_order& stop, const pace_order& pace,
                                     const advice_request& advise) {
    { T::read_job(text) } -> std::same_as<document_result<step_job>>;
    { T::format_job_state(job_progress::queued) } -> std::same_as<std::string>;
    { T::format_pending(std::uint64_t{}) } -> std::same_as<std::string>;
    { T::read_control_call(request) } -> std::same_as<control_call>;
    { T::format_heartbeat_answer(text) } -> std::same_as<std::string>;
    { T::write_order(hold) } -> std::same_as<http_request>;
    { T::write_order(start) } -> std::same_as<http_request>;
    { T::write_order(stop) } -> std::same_as<http_request>;
    { T::write_order(pace) } -> std::same_as<http_request>;
    { T::write_order(advise) } -> std::same_as<http_request>;
    { T::read_advice(response) } -> std::same_as<advice_outcome>;
    { T::read_order_answer(response) } -> std::same_as<order_answer>;
    { T::read_hold_answer(response) } -> std::same_as<order_outcome>;
};

} // namespace poplarpitch
