#pragma once

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/http/http_response.h"
#include "poplarpitch/scheduler/caller_answers.h"
#include "poplarpitch/scheduler/copy_filter.h"
#include "poplarpitch/scheduler/refused_submissions.h"
#include "poplarpitch/scheduler/scheduler_dialect.h"
#include "poplarpitch/scheduler/scheduler_parts.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_size.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <utility>

namespace poplarpitch {

/// Handles the requests of callers: submitting a job, getting its state, cancelling it, and counting the
/// pending jobs of a queue.
///
/// Entry instances relay requests to the leader, because only the leader knows the newest configuration and
/// every accepted job. Thread safety: the loop's thread.
template <scheduler_dialect Dialect>
class caller_service {
public:
    using answer_handler = relay_answer_handler;

    /// Precondition: `parts` outlives the object.
    explicit caller_service(scheduler_parts& parts)
        : m_parts(parts), m_refused(parts.job_state, parts.batcher) {}

    /// Handles a relayed request.
    void handle(const job_wire::relay_request& request, const answer_handler& on_answer) {
        job_wire::relay_answer answer;
        answer.set_number(request.number());
        answer.set_leader(m_parts.log.get_leader_ip());
        if (!m_parts.may_answer()) {
            on_answer(answer);
            return;
        }
        if (copy_filter::is_expired(request, m_parts.loop.now())) {
            log_event(log_level::warn, "request_expired")
                .add("method", request.method())
                .add("target", request.target())
                .add("age_ms", copy_filter::get_age_ms(request, m_parts.loop.now()));
            return; // the entry instance has told the caller that the outcome is unknown
        }
        answer.set_taken(true);
        if (request.method() != "POST") {
            answer_request(request, answer, on_answer);
            return;
        }
        answer_request(
            request, answer, [this, key = copy_filter::get_key(request), on_answer](const auto& decided) {
                m_copies.record_answer(key, static_cast<int>(decided.status()), m_parts.loop.now());
                on_answer(decided);
            });
    }

    /// Called when this instance begins to lead.
    void on_leading() { m_copies.clear(); }

private:
    /// A submission that is being committed.
    struct pending_submission {
        std::uint64_t queue = 0; ///< `queue_settings::get_hash`
        std::size_t bytes = 0;   ///< `estimate_bytes` of the job
        int commands = 0;        ///< one for each copy of the request
    };

    /// Answers a request of a caller that still waits.
    void answer_request(const job_wire::relay_request& request, const job_wire::relay_answer& answer,
                        const answer_handler& on_answer) {
        const auto& configuration = m_parts.job_state.get_configuration();
        if (configuration.version == 0) {
            finish_answer(answer, 503, "", on_answer);
            return;
        }
        const auto host = request.host().substr(0, request.host().find(':'));
        const auto path = request.target().substr(0, request.target().find('?'));
        const auto* queue = configuration.find_queue(host, path);
        if (queue == nullptr) {
            finish_answer(answer, 404, "", on_answer);
            return;
        }
        const auto rest = path.substr(queue->prefix.size());
        if (rest.empty() && request.method() == "GET") {
            finish_answer(answer, 200,
                          Dialect::format_pending(m_parts.dispatch.count_pending_jobs(queue->name)),
                          on_answer);
            return;
        }
        const auto id = parse_job_id(rest);
        if (!id.has_value()) {
            finish_answer(answer, 400,
                          make_error_body("bad_id", "the path names no job: 16 hexadecimal digits"),
                          on_answer);
        } else if (request.method() == "POST") {
            submit(request, *queue, *id, answer, on_answer);
        } else if (request.method() == "GET") {
            answer_state(*queue, *id, answer, on_answer);
        } else if (request.method() == "DELETE") {
            cancel(*queue, *id, answer, on_answer);
        } else {
            finish_answer(answer, 405, "", on_answer);
        }
    }

    /// Returns the HTTP status of a command's commit result; 0 while the outcome is unknown, which is never
    /// answered as a refusal.
    static int get_status(commit_result outcome) {
        switch (outcome) {
        case commit_result::applied:
            return 200;
        case commit_result::refused:
            return 410;
        case commit_result::unreadable:
            return 400;
        case commit_result::not_proposed:
        case commit_result::unknown:
            break;
        }
        return 0;
    }

    /// Returns a handler that answers with a command's commit result.
    static auto make_result_handler(job_wire::relay_answer answer, answer_handler on_answer) {
        return [answer = std::move(answer), on_answer = std::move(on_answer)](commit_result outcome) mutable {
            answer.set_taken(outcome != commit_result::not_proposed);
            finish_answer(answer, get_status(outcome), "", on_answer);
        };
    }

    const job_record* find(const queue_settings& queue, job_id id) const {
        const auto* record = m_parts.job_state.find_job(id);
        const bool is_here = record != nullptr && record->job->queue.host == queue.host &&
                             record->job->queue.prefix == queue.prefix;
        return is_here ? record : nullptr;
    }

    void submit(const job_wire::relay_request& request, const queue_settings& queue, job_id id,
                const job_wire::relay_answer& answer, const answer_handler& on_answer) {
        if (find(queue, id) != nullptr) {
            finish_answer(answer, 200, "", on_answer); // a repeated request
            return;
        }
        const refused_job submission{id, queue.get_hash()};
        const auto* pending = find_pending(id);
        const bool is_elsewhere = m_parts.job_state.find_job(id) != nullptr ||
                                  (pending != nullptr && pending->queue != submission.queue);
        if (is_elsewhere) {
            log_event(log_level::warn, "job_refused")
                .add("job", format_job_id(id))
                .add("reason", "another queue has a job with this id");
            finish_answer(answer, 409, make_error_body("id_in_use", "another queue has a job with this id"),
                          on_answer);
            return;
        }
        if (m_refused.contains(submission)) {
            log_event(log_level::info, "job_refused")
                .add("job", format_job_id(id))
                .add("reason", "it was cancelled before it was submitted");
            refuse_submission(submission, answer, on_answer);
            return;
        }
        // A repeated request, sent while the command of the first one is being committed, must not be
        // refused: the job may be accepted.
        const bool is_submitting = pending != nullptr;
        if (!is_submitting && m_copies.was_copy_refused(request, m_parts.loop.now())) {
            log_event(log_level::info, "job_refused")
                .add("job", format_job_id(id))
                .add("reason", "another copy of the request was refused while this one was on its way");
            answer_retry_later(retry_after_copy, answer, on_answer);
            return;
        }
        const auto open = static_cast<std::int64_t>(m_parts.dispatch.count_open_jobs());
        if (!is_submitting && open >= m_parts.settings.dispatch.max_open_jobs) {
            refuse_for_open_jobs(id, open, answer, on_answer);
            return;
        }
        auto parsed = Dialect::read_job(request.body());
        if (!parsed.has_value()) {
            refuse_invalid(id, parsed.error().describe(), answer, on_answer);
            return;
        }
        auto& job = parsed.value();
        job.id = id;
        job.queue = queue;
        job.accepted_ms = get_wall_ms();
        job.caller_data_centre = request.data_centre();
        if (const auto error = validate_job(job); error.has_value()) {
            refuse_invalid(id, *error, answer, on_answer);
            return;
        }
        const auto bytes = estimate_bytes(job);
        if (!is_submitting && refuse_for_memory(id, bytes, answer, on_answer)) {
            return;
        }
        if (!is_submitting) {
            const auto decision = m_parts.dispatch.admit(job, m_parts.loop.now());
            if (!decision.is_admitted()) {
                refuse_admission(id, decision, answer, on_answer);
                return;
            }
        }
        job_wire::job_command command;
        encode(job, *command.mutable_submit()->mutable_job());
        log_event(log_level::info, "job_submitted")
            .add("job", format_job_id(id))
            .add("queue", queue.name)
            .add("config", m_parts.job_state.get_configuration().version)
            .add("steps", static_cast<std::uint64_t>(job.steps.size()));
        auto& submitting = m_submitting[id];
        submitting.queue = submission.queue;
        ++submitting.commands;
        m_submitting_bytes += bytes - std::exchange(submitting.bytes, bytes);
        m_parts.batcher.add(std::move(command), [this, id, answer = make_result_handler(answer, on_answer)](
                                                    commit_result outcome) mutable {
            // A request that was sent again may still be committed after this one was not.
            const auto found = m_submitting.find(id);
            const bool is_last = --found->second.commands == 0;
            if (is_last) {
                m_submitting_bytes -= found->second.bytes;
                m_submitting.erase(found);
            }
            const bool is_sure = outcome == commit_result::refused ||
                                 outcome == commit_result::not_proposed ||
                                 outcome == commit_result::unreadable;
            if (is_sure && is_last) {
                m_parts.dispatch.cancel_admission(id);
            }
            answer(outcome);
        });
    }

    /// Answers that there is no memory for the job, if that is so, and returns true.
    bool refuse_for_memory(job_id id, std::size_t bytes, const job_wire::relay_answer& answer,
                           const answer_handler& on_answer) {
        const auto limit = get_job_memory_limit(m_parts.settings.memory_limit);
        const auto held = m_parts.job_state.get_job_bytes() + m_submitting_bytes;
        if (bytes > limit) {
            refuse_invalid(id, "the job has more tasks than an instance can hold", answer, on_answer);
        } else if (held + bytes > limit) {
            refuse_for_job_memory(id, held, bytes, answer, on_answer);
        } else {
            return false;
        }
        return true;
    }

    void answer_state(const queue_settings& queue, job_id id, const job_wire::relay_answer& answer,
                      const answer_handler& on_answer) {
        const auto* record = find(queue, id);
        if (record == nullptr) {
            finish_answer(answer, 410, "", on_answer);
            return;
        }
        finish_answer(answer, 200, Dialect::format_job_state(get_progress(*record)), on_answer);
    }

    [[nodiscard]] job_progress get_progress(const job_record& record) const {
        switch (record.phase) {
        case job_phase::completed:
            return job_progress::completed;
        case job_phase::failed:
            return job_progress::failed;
        case job_phase::cancelled:
            return job_progress::cancelled;
        case job_phase::open:
            break;
        }
        return m_parts.dispatch.has_started(record.job->id) ? job_progress::running : job_progress::queued;
    }

    /// Returns the submission of a job that is being committed, or null.
    [[nodiscard]] const pending_submission* find_pending(job_id id) const {
        const auto found = m_submitting.find(id);
        return found == m_submitting.end() ? nullptr : &found->second;
    }

    /// Cancels a job, also one whose submission is being committed: commands are committed in the order in
    /// which they are added.
    void cancel(const queue_settings& queue, job_id id, const job_wire::relay_answer& answer,
                const answer_handler& on_answer) {
        const refused_job job{id, queue.get_hash()};
        const auto* pending = find_pending(id);
        const bool is_submitting = pending != nullptr && pending->queue == job.queue;
        if (find(queue, id) == nullptr && !is_submitting) {
            refuse_submission(job, answer, on_answer);
            return;
        }
        job_wire::job_command command;
        command.mutable_cancel()->set_id(id);
        log_event(log_level::info, "job_cancel").add("job", format_job_id(id)).add("queue", queue.name);
        m_parts.batcher.add(std::move(command), [this, job, answer, on_answer](commit_result outcome) {
            if (outcome == commit_result::refused) { // its submission was not committed
                refuse_submission(job, answer, on_answer);
                return;
            }
            make_result_handler(answer, on_answer)(outcome);
        });
    }

    /// Answers that there is no such job, once the log holds that it must not be submitted any more. A copy
    /// of its submission may still be on its way, and also reach a later leader.
    void refuse_submission(const refused_job& job, const job_wire::relay_answer& answer,
                           const answer_handler& on_answer) {
        m_refused.add(job, [job, answer, on_answer](commit_result outcome) {
            if (outcome == commit_result::applied) {
                finish_answer(answer, 410, "", on_answer);
            } else if (outcome == commit_result::refused) {
                refuse_to_cancel(job, answer, on_answer);
            } else {
                make_result_handler(answer, on_answer)(outcome);
            }
        });
    }

    scheduler_parts& m_parts;
    absl::flat_hash_map<job_id, pending_submission> m_submitting;
    std::size_t m_submitting_bytes = 0; ///< of all submissions that are being committed
    refused_submissions m_refused;
    copy_filter m_copies;
};

} // namespace poplarpitch
