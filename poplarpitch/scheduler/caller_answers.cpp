#include "poplarpitch/scheduler/caller_answers.h"

#include "poplarpitch/dispatch/admission.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/scheduling/refused_job.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <utility>

namespace poplarpitch {
namespace {

constexpr duration retry_after_overload = seconds{5}; // bursts last 4 to 6 s
constexpr duration retry_after_full = seconds{10}; // refusals and ended jobs are forgotten after some minutes

const char* get_refusal_reason(admission::admission_outcome outcome) {
    switch (outcome) {
    case admission::admission_outcome::long_running_quota:
        return "jobs that last long have reserved their share of the pool";
    case admission::admission_outcome::data_centres_drained:
        return "every data centre of the pool is drained";
    case admission::admission_outcome::overloaded:
        return "the leader is behind";
    case admission::admission_outcome::completion_too_late:
        return "the job would be completed too late";
    case admission::admission_outcome::admitted:
        break;
    }
    return "none";
}

} // namespace

void finish_answer(job_wire::relay_answer answer, int status, std::string body,
                   const relay_answer_handler& on_answer) {
    answer.set_status(static_cast<std::uint32_t>(status));
    answer.set_body(std::move(body));
    on_answer(answer);
}

std::string make_error_body(const std::string& code, const std::string& message) {
    return make_error_response(0, code, message).body;
}

void answer_retry_later(duration wait, job_wire::relay_answer answer, const relay_answer_handler& on_answer) {
    answer.set_retry_after_ms(to_milliseconds(wait));
    finish_answer(std::move(answer), 429, "", on_answer);
}

void refuse_invalid(job_id id, const std::string& reason, const job_wire::relay_answer& answer,
                    const relay_answer_handler& on_answer) {
    log_event(log_level::warn, "job_refused").add("job", format_job_id(id)).add("reason", reason);
    finish_answer(answer, 400, make_error_body("invalid", reason), on_answer);
}

void refuse_admission(job_id id, const admission& decision, const job_wire::relay_answer& answer,
                      const relay_answer_handler& on_answer) {
    log_event(log_level::info, "job_refused")
        .add("job", format_job_id(id))
        .add("reason", get_refusal_reason(decision.outcome))
        .add("lag_ms", to_milliseconds(decision.lag))
        .add("wanted_millicores", decision.wanted)
        .add("reserved_millicores", decision.reserved)
        .add("allowed_millicores", decision.allowed)
        .add("expected_ms", decision.expected.has_value() ? to_milliseconds(*decision.expected) : -1)
        .add("objective_ms", to_milliseconds(decision.objective))
        .add("promised", decision.was_promised ? "yes" : "no")
        .add("retry_after_ms", to_milliseconds(decision.retry_after));
    answer_retry_later(decision.retry_after, answer, on_answer);
}

void refuse_for_open_jobs(job_id id, std::int64_t open, const job_wire::relay_answer& answer,
                          const relay_answer_handler& on_answer) {
    log_event(log_level::warn, "job_refused")
        .add("job", format_job_id(id))
        .add("reason", "too many open jobs")
        .add("open", open);
    answer_retry_later(retry_after_overload, answer, on_answer);
}

void refuse_for_job_memory(job_id id, std::size_t held, std::size_t bytes,
                           const job_wire::relay_answer& answer, const relay_answer_handler& on_answer) {
    log_event(log_level::warn, "job_refused")
        .add("job", format_job_id(id))
        .add("reason", "the accepted jobs take all memory for jobs")
        .add("held_bytes", static_cast<std::uint64_t>(held))
        .add("job_bytes", static_cast<std::uint64_t>(bytes));
    answer_retry_later(retry_after_full, answer, on_answer);
}

void refuse_to_cancel(const refused_job& job, job_wire::relay_answer answer,
                      const relay_answer_handler& on_answer) {
    log_event(log_level::warn, "cancel_refused")
        .add("job", format_job_id(job.id))
        .add("reason", "too many unknown jobs were cancelled");
    answer.set_retry_after_ms(to_milliseconds(retry_after_full));
    finish_answer(std::move(answer), 503, "", on_answer);
}

} // namespace poplarpitch
