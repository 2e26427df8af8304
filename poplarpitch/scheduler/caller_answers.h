#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace poplarpitch::job_wire {
class relay_answer;
} // namespace poplarpitch::job_wire

namespace poplarpitch {

struct admission;
struct refused_job;

/// Receives the answer to a relayed request. Called once. `taken` is false when nothing was done; a status of
/// 0 means that the outcome is unknown.
using relay_answer_handler = std::function<void(const job_wire::relay_answer&)>;

/// Answers to callers, with a log line for each refusal. Each completes a copy of `answer`, which names the
/// request, and passes it to `on_answer`. Thread safety: any thread, for all of them.

constexpr duration retry_after_copy = seconds{1}; ///< for the caller of a copy that came late

/// Answers with a status and a body.
void finish_answer(job_wire::relay_answer answer, int status, std::string body,
                   const relay_answer_handler& on_answer);
/// Returns the body that tells a caller a code and a message.
[[nodiscard]] std::string make_error_body(const std::string& code, const std::string& message);
/// Answers 429 with the time after which to retry.
void answer_retry_later(duration wait, job_wire::relay_answer answer, const relay_answer_handler& on_answer);
/// Answers that a job cannot be read or is invalid, with the reason.
void refuse_invalid(job_id id, const std::string& reason, const job_wire::relay_answer& answer,
                    const relay_answer_handler& on_answer);
/// Answers that the job was not admitted, with the time after which to retry.
void refuse_admission(job_id id, const admission& decision, const job_wire::relay_answer& answer,
                      const relay_answer_handler& on_answer);
/// Answers that too many jobs are open, with the time after which to retry. Below that bound every job is
/// accepted, also during a burst: a late job is worth more to its caller than none, and jobs that can still
/// meet their deadline go first.
void refuse_for_open_jobs(job_id id, std::int64_t open, const job_wire::relay_answer& answer,
                          const relay_answer_handler& on_answer);
/// Answers that the accepted jobs, which take `held` bytes, leave no memory for a job of `bytes` bytes, with
/// the time after which to retry.
void refuse_for_job_memory(job_id id, std::size_t held, std::size_t bytes,
                           const job_wire::relay_answer& answer, const relay_answer_handler& on_answer);
/// Answers that nothing can be promised of an unknown job, since too many such promises are kept.
void refuse_to_cancel(const refused_job& job, job_wire::relay_answer answer,
                      const relay_answer_handler& on_answer);

} // namespace poplarpitch
