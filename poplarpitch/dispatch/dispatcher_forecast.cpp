// Forecast of when jobs are completed, and admission by it.
#include "poplarpitch/dispatch/dispatcher.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::int64_t full_percent = 100;
constexpr double millicores_per_core = 1000;
constexpr std::int64_t late_multiple = 3;     // as in the order of service
constexpr std::size_t jobs_per_second = 4000; // whose remaining work is computed anew: 1% of a small core
constexpr duration min_refresh_interval = milliseconds{500};

bool is_filling(const step_job& job) {
    return std::any_of(job.steps.begin(), job.steps.end(),
                       [](const step_spec& step) { return step.is_filling; });
}

/// Returns true for a job that ends and runs once. Only for these the time of completion is forecast.
bool has_forecast(const step_job& job) {
    const bool is_long_running = std::any_of(job.steps.begin(), job.steps.end(),
                                             [](const step_spec& step) { return step.long_running; });
    return !is_long_running && !job.schedule.has_value();
}

/// The progress of the runs of one step.
struct step_progress {
    std::uint32_t runs = 0;
    std::int64_t percents = 0; ///< sum over the runs
    std::int64_t least_percent = full_percent;
};

std::vector<step_progress> get_progress(const absl::btree_map<run_key, run_track*>& runs, std::size_t steps) {
    std::vector<step_progress> progress(steps);
    for (const auto& [key, run] : runs) {
        auto& step = progress[key.task.step.step];
        ++step.runs;
        step.percents += run->percent;
        step.least_percent = std::min(step.least_percent, run->percent);
    }
    return progress;
}

/// Returns for each step how long it and the steps that follow it take.
std::vector<std::int64_t> get_paths_ms(const step_job& job, const std::vector<std::int64_t>& durations_ms) {
    std::vector<std::int64_t> paths(durations_ms); // one pass: a job may have 1,000 steps
    for (std::size_t number = job.steps.size(); number-- > 0;) {
        for (const auto earlier : job.steps[number].depends_on) {
            paths[earlier] = std::max(paths[earlier], durations_ms[earlier] + paths[number]);
        }
    }
    return paths;
}

} // namespace

job_work dispatcher::get_remaining_work(const open_job& job, const job_record& record, time_point now) const {
    const auto& spec = *record.job;
    const auto durations = m_forecast.get_step_durations_ms(spec, 0);
    const auto progress = get_progress(job.runs, spec.steps.size());
    job_work work;
    work.job = spec.id;
    work.room = {spec.queue.pool, is_filling(spec)};
    work.priority = spec.queue.priority;
    const auto objective_ms = to_milliseconds(spec.get_objective(durations));
    const auto age_ms = to_milliseconds(now - job.accepted);
    work.time_left_ms = objective_ms - age_ms;
    const auto paths = get_paths_ms(spec, durations);
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const auto& step = spec.steps[number];
        const auto* state = record.find_step(0, number);
        const auto left = step.count - (state == nullptr ? 0 : state->done);
        if (left == 0) {
            continue;
        }
        const auto& at = progress[number];
        const auto tasks_left =
            static_cast<double>(left) - static_cast<double>(at.percents) / static_cast<double>(full_percent);
        work.core_ms += std::max(tasks_left, 0.0) * static_cast<double>(step.millicores) /
                        millicores_per_core * static_cast<double>(durations[number]);
        const auto done_ms = at.runs < left ? 0 : durations[number] * at.least_percent / full_percent;
        work.path_ms = std::max(work.path_ms, paths[number] - done_ms);
    }
    work.is_past_limit = age_ms + work.path_ms > late_multiple * objective_ms;
    return work;
}

void dispatcher::record_drain(const task_key& task) {
    const auto* record = m_job_state.find_job(task.step.job);
    if (!m_settings.decisions.refuse_late || record == nullptr || !has_forecast(*record->job)) {
        return;
    }
    const auto& step = record->job->steps[task.step.step];
    m_completion.on_task_done(task.step.job, {record->job->queue.pool, is_filling(*record->job)},
                              static_cast<double>(step.millicores) / millicores_per_core *
                                  static_cast<double>(m_forecast.predict_ms(*record->job, step)));
}

void dispatcher::update_forecast(time_point now) {
    if (now >= m_next_work_refresh) {
        // Between refreshes, the work follows the jobs that are accepted and the tasks and jobs that end.
        m_next_work_refresh = now + std::max<duration>(min_refresh_interval,
                                                       milliseconds{1000 * m_jobs.size() / jobs_per_second});
        std::vector<job_work> open;
        open.reserve(m_jobs.size());
        for (const auto& [id, job] : m_jobs) {
            const auto* record = m_job_state.find_job(id);
            if (record != nullptr && has_forecast(*record->job)) {
                open.push_back(get_remaining_work(job, *record, now));
            }
        }
        m_completion.set_open(open, now);
    }
    std::vector<room_key> waiting;
    for (const auto& [key, ready] : m_ready) {
        const auto& step = ready.job->steps[key.step];
        const room_key room{ready.job->queue.pool, is_filling(*ready.job)};
        if (!ready.waiting.empty() && !step.long_running &&
            std::find(waiting.begin(), waiting.end(), room) == waiting.end()) {
            waiting.push_back(room);
        }
    }
    m_completion.measure(waiting, now);
    m_counts.promised_jobs = m_admission.count_promises();
}

void dispatcher::admit_by_forecast(admission& decided, const step_job& job, time_point now) {
    if (!has_forecast(job) || !have_workers_reported(now)) {
        return;
    }
    if (m_jobs.contains(job.id) || m_completion.contains(job.id)) { // submitted again
        return;
    }
    job_record record; // of a job without progress
    record.job = std::make_shared<const step_job>(job);
    open_job submitted;
    submitted.accepted = now;
    const auto work = get_remaining_work(submitted, record, now);
    const auto made = m_admission.decide(work, job.queue.name, m_completion, now, job.accepted_ms);
    decided.expected = made.expected;
    decided.was_promised = made.was_promised;
    decided.objective = milliseconds{work.time_left_ms};
    if (made.is_admitted) {
        m_completion.on_accepted(work, made.expected, now);
        return;
    }
    ++m_counts.refused_jobs;
    ++m_counts.refused_late;
    decided.outcome = admission::admission_outcome::completion_too_late;
    decided.retry_after = made.retry_after;
}

} // namespace poplarpitch
