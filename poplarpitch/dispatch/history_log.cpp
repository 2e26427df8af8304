#include "poplarpitch/dispatch/history_log.h"

#include "poplarpitch/dispatch/run_log.h"
#include "poplarpitch/dispatch/run_track.h"
#include "poplarpitch/dispatch/worker_state.h"
#include "poplarpitch/scheduling/hold_answer.h"
#include "poplarpitch/scheduling/job_state_event.h"
#include "poplarpitch/telemetry/log_event.h"

namespace poplarpitch {
namespace {

constexpr duration min_logged_pause =
    milliseconds{500}; // one run in twenty fails by its own fault, and each pauses its worker for 0.1 s

} // namespace

void log_run_started(const run_track& track, const char* reason, log_term term, time_point now) {
    auto line = log_event(log_level::info, "run_started", log_class::history);
    add_run(line, track.key);
    add_worker(line, track.host->report.incarnation)
        .add("wait_ms", to_milliseconds(now - track.assigned_at))
        .add("ground", reason)
        .add("term", term)
        .add("fence", track.start_fence)
        .add("starts", static_cast<std::uint64_t>(track.starts));
    if (track.starts > 0) {
        line.add("sent_ms", to_milliseconds(now - track.start_sent));
    }
}

void log_run_taken_over(const run_track& track, const char* found, log_term term) {
    auto line = log_event(log_level::info, "run_taken_over", log_class::history);
    add_run(line, track.key);
    add_worker(line, track.host->report.incarnation)
        .add("found", found)
        .add("of", track.loss_of_former_incarnation.has_value() ? "former_life" : "former_leader")
        .add("term", term)
        .add("fence", track.host->fence);
}

void log_run_ended(const run_track& track, run_end end, log_term term, time_point now) {
    auto line = log_event(log_level::info, "run_ended", log_class::history);
    add_run(line, track.key);
    add_worker(line, track.assigned_to)
        .add("end", get_end_name(end))
        .add("ground", get_end_reason_name(track.evidence.reason));
    if (track.evidence.requested_at != time_point{}) {
        line.add("asked_ms", to_milliseconds(now - track.evidence.requested_at));
    }
    if (track.evidence.number != 0) {
        line.add("number", track.evidence.number);
    }
    line.add("term", term).add("fence", track.host->fence);
}

void log_attempt_failed(const job_state_event& event, log_term term) {
    const auto add_attempts = [&](log_event& line) {
        add_run(line, event.run);
        add_worker(line, event.worker)
            .add("counted", event.attempts.is_counted() ? "yes" : "no")
            .add("failures_before", static_cast<std::uint64_t>(event.attempts.before))
            .add("failures", static_cast<std::uint64_t>(event.attempts.after))
            .add("max_attempts", static_cast<std::uint64_t>(event.attempts.max))
            .add("term", term);
    };
    {
        auto line = log_event(log_level::info, "attempt_failed", log_class::history);
        add_attempts(line);
    }
    if (event.attempts.is_exhausted()) {
        auto line = log_event(log_level::warn, "attempts_exhausted", log_class::history);
        add_attempts(line);
    }
}

void log_unknown_end(const worker_state& worker, const run_track* track, const run_end_entry& row) {
    const auto* why = track == nullptr ? "not_known" : "ending";
    if (track != nullptr && track->host != &worker) {
        why = "other_worker";
    }
    auto line = log_event(log_level::info, "end_of_unknown_run", log_class::history);
    add_run(line, row.run);
    add_worker(line, worker.report.incarnation)
        .add("end", get_end_name(row.end))
        .add("number", row.number)
        .add("seen", worker.last_processed_end)
        .add("reason", why)
        .add("fence", worker.fence);
}

void log_set_aside(const worker_state& worker, const char* reason, time_point now) {
    const auto left = worker.trust.get_time_left(now);
    if (left < min_logged_pause) {
        return;
    }
    auto line = log_event(log_level::info, "worker_set_aside");
    add_worker(line, worker.report.incarnation)
        .add("reason", reason)
        .add("left_ms", to_milliseconds(left))
        .add("runs", static_cast<std::uint64_t>(worker.runs.size()))
        .add("free_millicores", worker.get_free().millicores);
}

void log_takeover(const takeover& taken) {
    log_event(log_level::info, "took_over", log_class::history)
        .add("term", taken.term)
        .add("fence", taken.fence)
        .add("open_jobs", taken.open_jobs)
        .add("runs", taken.runs)
        .add("workers", taken.workers)
        .add("waiting", taken.waiting);
}

} // namespace poplarpitch
