#include "poplarpitch/scheduler/scheduler_metrics.h"

#include "poplarpitch/net/endpoint_report.h"
#include "poplarpitch/scheduler/scheduler_parts.h"
#include "poplarpitch/scheduling/job_timing.h"
#include "poplarpitch/telemetry/logging.h"

namespace poplarpitch {
namespace {

const char* get_name(job_timing::kind what) {
    switch (what) {
    case job_timing::kind::first_start:
        return "first_start";
    case job_timing::kind::completed:
        return "completed";
    case job_timing::kind::failed:
        return "failed";
    case job_timing::kind::cancelled:
        return "cancelled";
    case job_timing::kind::forecast_error:
        return "forecast_error";
    }
    return "unknown";
}

} // namespace

void scheduler_metrics::observe(const job_timing& timing) {
    const metric_labels labels{"", timing.queue, get_name(timing.what)};
    if (timing.what == job_timing::kind::forecast_error) {
        m_registry.observe("poplarpitch_job_forecast_error_ratio", labels, timing.length);
        return;
    }
    m_registry.observe("poplarpitch_job_seconds", labels, timing.length);
    if (timing.what == job_timing::kind::completed) {
        m_registry.count("poplarpitch_jobs_completed_total",
                         {"", timing.queue, timing.is_in_time ? "in_time" : "late"});
    }
}

void scheduler_metrics::set_queue_shares(const std::map<std::string, double>& shares) {
    for (const auto& queue : m_share_queues) {
        if (!shares.contains(queue)) {
            m_registry.set("poplarpitch_queue_use_share", {"", queue, ""}, 0);
        }
    }
    for (const auto& [queue, share] : shares) {
        m_registry.set("poplarpitch_queue_use_share", {"", queue, ""}, share);
        m_share_queues.insert(queue);
    }
}

std::string scheduler_metrics::format(const scheduler_parts& parts, const endpoint_report& endpoints) {
    const auto set = [this](const char* name, auto value, const char* outcome = "") {
        m_registry.set(name, {"", "", outcome}, static_cast<double>(value));
    };
    const auto& counts = parts.dispatch.get_counts();
    set("poplarpitch_runs_total", counts.assigned, "assigned");
    set("poplarpitch_runs_total", counts.copies, "copies");
    set("poplarpitch_runs_total", counts.started, "started");
    set("poplarpitch_runs_total", counts.done_runs, "done");
    set("poplarpitch_runs_total", counts.failed_runs, "failed");
    set("poplarpitch_runs_total", counts.lost_runs, "lost");
    set("poplarpitch_task_crashes_total", counts.crashes);
    set("poplarpitch_jobs_given_up_total", counts.jobs_given_up, "crashes");
    set("poplarpitch_jobs_given_up_total", counts.jobs_out_of_attempts, "attempts");
    set("poplarpitch_failed_attempts_total", counts.failed_attempts);
    set("poplarpitch_suspect_tasks", parts.dispatch.count_suspects());
    set("poplarpitch_starts_refused_total", counts.refused_room, "no_room");
    set("poplarpitch_starts_refused_total", counts.refused_other, "other");
    set("poplarpitch_jobs_refused_total", counts.refused_jobs);
    set("poplarpitch_orders_total", counts.stops, "stop");
    set("poplarpitch_orders_total", counts.pace_orders, "pace");
    set("poplarpitch_orders_total", counts.hold_orders, "hold");
    set("poplarpitch_orders_unanswered_total", counts.unanswered);
    set("poplarpitch_orders_put_off_total", counts.not_sent);
    const auto stats = parts.caller.get_stats();
    set("poplarpitch_worker_connections_total", stats.opened);
    set("poplarpitch_worker_connections", stats.connections - stats.idle, "used");
    set("poplarpitch_worker_connections", stats.idle, "idle");
    set("poplarpitch_worker_connections_allowed", parts.settings.caller.max_connections);
    set("poplarpitch_orders_waiting_for_connection", stats.waiting);
    set("poplarpitch_orders_not_sent_total", stats.not_sent);
    set("poplarpitch_descriptors_exhausted_total", stats.exhausted);
    set("poplarpitch_relays", parts.relays.count_relays());
    const auto& relayed = parts.relays.get_counts();
    set("poplarpitch_relayed_orders_total", relayed.orders);
    set("poplarpitch_relayed_answers_total", relayed.answers);
    set("poplarpitch_relay_frames_total", relayed.frames_sent, "sent");
    set("poplarpitch_relay_frames_total", relayed.frames_received, "received");
    set("poplarpitch_relayed_reports_total", relayed.whole_reports, "whole");
    set("poplarpitch_relayed_reports_total", relayed.unchanged_reports, "unchanged");
    set("poplarpitch_status_requests_total", parts.log.get_status_requests());
    set("poplarpitch_link_connections", parts.log.count_link_connections());
    set("poplarpitch_relayed_orders_open", parts.relays.count_open());
    set("poplarpitch_log_batches_total", parts.batcher.get_batches());
    set("poplarpitch_log_commands_total", parts.batcher.get_commands());
    set("poplarpitch_loop_busy_share", parts.loop.get_busy_share());
    set("poplarpitch_loop_lag_seconds", to_seconds(parts.loop.get_lag()));
    set("poplarpitch_loop_cut_turns_total", parts.loop.get_cut_iterations());
    set("poplarpitch_log_lines_left_out_total", get_left_out_log_lines());
    set("poplarpitch_storage_full", parts.log.is_storage_full() ? 1 : 0);
    set("poplarpitch_leading", parts.log.is_leading() ? 1 : 0);
    set("poplarpitch_voters", parts.log.get_voter_count());
    set("poplarpitch_config_version", parts.job_state.get_configuration().version);
    set("poplarpitch_data_centres_drained", parts.job_state.get_drained_data_centres().size());
    set("poplarpitch_jobs_known", parts.job_state.get_jobs().size());
    set("poplarpitch_workers", parts.dispatch.get_workers().size());
    set("poplarpitch_jobs_refused_late_total", counts.refused_late);
    set("poplarpitch_jobs_promised", counts.promised_jobs);
    set("poplarpitch_learned_bytes_total", counts.learned_bytes);
    set("poplarpitch_workers_slow", counts.slow_workers);
    set("poplarpitch_tasks_moved_total", counts.moved_from_slow, "worker_slow");
    set("poplarpitch_tasks_stuck", counts.stuck_tasks);
    set("poplarpitch_leader_differences", counts.leader_differences);
    set("poplarpitch_audit_mends_total", counts.mended_differences);
    set("poplarpitch_tasks_waiting", parts.dispatch.count_waiting_tasks());
    set_queue_shares(parts.dispatch.get_shares().get_queue_shares());
    set("poplarpitch_job_bytes", parts.job_state.get_job_bytes());
    set("poplarpitch_job_bytes_limit", get_job_memory_limit(parts.settings.memory_limit));
    set("poplarpitch_link_connections_closed_total", parts.log.get_closed_link_connections());
    endpoints.set_metrics(m_registry);
    return m_registry.format();
}

} // namespace poplarpitch
