// Reports of the dispatcher: load, timings, counts, and the learned interference factors.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration pressure_save_interval = seconds{2}; // 45 pairs take 2 KB of log
constexpr duration report_interval = seconds{2};        // of the load line
constexpr double max_forecast_error = 100;              // a job may be done soon whose forecast was unbounded

} // namespace

void dispatcher::record_first_start(job_id id, time_point now) {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.has_started) {
        return;
    }
    found->second.has_started = true;
    const auto& queue = m_job_state.find_job(id)->job->queue.name;
    m_timings.push_back({job_timing::kind::first_start, queue, now - found->second.accepted, true});
}

void dispatcher::record_job_end(job_id id, time_point now) {
    const auto found = m_jobs.find(id);
    const auto* record = m_job_state.find_job(id);
    if (found == m_jobs.end() || record == nullptr) {
        return;
    }
    const auto& job = *record->job;
    const auto total_time = now - found->second.accepted;
    const auto objective = job.get_objective(m_forecast.get_step_durations_ms(job, 0));
    const auto what = record->phase == job_phase::completed ? job_timing::kind::completed
                      : record->phase == job_phase::failed  ? job_timing::kind::failed
                                                            : job_timing::kind::cancelled;
    m_timings.push_back({what, job.queue.name, total_time, total_time <= objective});
    const auto expected = m_completion.on_ended(id);
    if (expected.has_value() && record->phase == job_phase::completed) {
        const auto error = *expected > total_time ? *expected - total_time : total_time - *expected;
        const auto share = static_cast<double>(error.count()) /
                           static_cast<double>(std::max<duration::rep>(total_time.count(), 1));
        const auto percent = static_cast<std::int64_t>(100 * std::min(share, max_forecast_error));
        m_timings.push_back(
            {job_timing::kind::forecast_error, job.queue.name, percent * milliseconds{10}, false});
    }
    log_event(log_level::info, "job_ended")
        .add("job", format_job_id(id))
        .add("queue", job.queue.name)
        .add("phase", get_phase_name(record->phase))
        .add("took_ms", to_milliseconds(total_time))
        .add("objective_ms", to_milliseconds(objective))
        .add("expected_ms", expected.has_value() ? to_milliseconds(*expected) : -1);
}

/// Learning the factors takes ten seconds of tail latencies under interference, so they are committed for the
/// next leader.
void dispatcher::save_pressure(time_point now) {
    if (now < m_next_pressure_save) {
        return;
    }
    m_next_pressure_save = now + pressure_save_interval;
    const auto factors = m_pressure.save();
    if (factors == m_job_state.get_pressure()) {
        return;
    }
    job_wire::job_command command;
    encode(factors, *command.mutable_pressure());
    m_commands.push_back(std::move(command));
}

void dispatcher::save_learned(time_point now, std::int64_t wall_ms) {
    if (!m_settings.decisions.keep_learned || !m_learned.begin_round(now)) {
        return;
    }
    const auto& committed = m_job_state.get_learned();
    m_learned.add(m_forecast, committed, wall_ms);
    m_learned.add(m_long_running, committed, wall_ms);
    m_learned.add(m_demand, committed, wall_ms);
    m_learned.add(m_completion, committed, wall_ms);
    m_learned.add(m_admission, committed, wall_ms);
    if (m_settings.decisions.fair_shares) {
        m_learned.add(m_shares, committed, wall_ms);
    }
    const auto records = m_learned.take_records();
    if (records.empty()) {
        return;
    }
    job_wire::job_command command;
    encode(records, *command.mutable_learned());
    m_counts.learned_bytes += command.ByteSizeLong();
    m_commands.push_back(std::move(command));
}

void dispatcher::restore_learned(time_point now, std::int64_t wall_ms) {
    m_learned.clear(now);
    if (!m_settings.decisions.keep_learned) {
        return;
    }
    const auto& committed = m_job_state.get_learned();
    m_learned.restore(m_forecast, committed, wall_ms);
    m_learned.restore(m_long_running, committed, wall_ms);
    m_learned.restore(m_completion, committed, wall_ms);
    m_learned.restore(m_admission, committed, wall_ms);
    if (m_settings.decisions.fair_shares) {
        m_learned.restore(m_shares, committed, wall_ms);
    }
    if (m_learned.restore(m_demand, committed, wall_ms)) {
        m_measured_at = now;
    }
    learned_state::log_unknown({work_forecast::part_name, long_running_quota::part_name,
                                completion_forecast::part_name, admission_policy::part_name,
                                demand_levels::part_name, fair_share::part_name},
                               committed, wall_ms);
}

void dispatcher::report_load(time_point now) {
    if (now < m_next_report) {
        return;
    }
    m_next_report = now + report_interval;
    std::uint64_t usable = 0;
    std::uint64_t serving = 0;
    std::uint64_t mixed = 0;
    worker_amounts capacity;
    worker_amounts reserved;
    std::int64_t filling = 0;
    for (const auto* worker : m_workers.get_all()) {
        usable += is_usable(*worker, now) ? 1 : 0;
        serving += worker->serving_runs > 0 ? 1 : 0;
        mixed += worker->serving_runs > 0 && worker->filling_runs > 0 ? 1 : 0;
        capacity += worker->report.capacity;
        reserved += worker->reserved;
        filling += worker->filling_millicores;
    }
    log_event(log_level::info, "load")
        .add("workers", static_cast<std::uint64_t>(m_workers.get_all().size()))
        .add("usable", usable)
        .add("serving", serving)
        .add("mixed", mixed)
        .add("cores", capacity.millicores / 1000)
        .add("reserved_cores", reserved.millicores / 1000)
        .add("filling_cores", filling / 1000)
        .add("memory_mb", capacity.memory_mb)
        .add("reserved_memory_mb", reserved.memory_mb)
        .add("runs", static_cast<std::uint64_t>(m_tracks.size()))
        .add("waiting", count_waiting_tasks())
        .add("open_jobs", static_cast<std::uint64_t>(m_jobs.size()));
}

// ---- queries

std::uint64_t dispatcher::count_pending_jobs(const std::string& queue) const {
    std::uint64_t count = 0;
    for (const auto& [id, job] : m_jobs) {
        const auto* record = m_job_state.find_job(id);
        if (!job.has_started && record != nullptr && record->job->queue.name == queue) {
            ++count;
        }
    }
    return count;
}

bool dispatcher::has_started(job_id id) const {
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second.has_started;
}

std::vector<job_timing> dispatcher::take_timings() {
    return std::exchange(m_timings, {});
}

std::uint64_t dispatcher::count_waiting_tasks() const {
    std::uint64_t waiting = 0;
    for (const auto& [key, ready] : m_ready) {
        waiting += ready.waiting.size();
    }
    return waiting;
}

std::vector<worker_order> dispatcher::take_orders() {
    return std::exchange(m_orders, {});
}

std::vector<job_wire::job_command> dispatcher::take_commands() {
    return std::exchange(m_commands, {});
}

} // namespace poplarpitch
