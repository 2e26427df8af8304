// Admission of jobs.
#include "poplarpitch/dispatch/dispatcher.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration pool_interval = milliseconds{500}; // between measurements of the use of the pools
constexpr double backlog_weight = 0.2; // weight of a new measurement: two thirds of a change in 2.5 s, longer
                                       // than a burst of new jobs waits

constexpr duration overload_wait = seconds{2}; // when timers are 0.4 s late, some seconds of work are queued
constexpr duration drained_wait = seconds{5};
constexpr std::uint64_t overload_spread_ms =
    2000; // spreads the retries of callers that were refused together

/// Returns the time after which a job that arrived while the leader lagged behind should be submitted again.
/// Load pattern: after a power loss or an election, all callers return at the same moment, and accepting more
/// work would only increase the lag.
duration get_overload_wait(job_id id) {
    return overload_wait + milliseconds{static_cast<std::int64_t>(id % overload_spread_ms)};
}

/// Returns the time after which a job should be submitted again for which no data centre takes tasks. How
/// long operators drain a data centre is not known; while a caller waits, it costs nothing.
duration get_drained_wait(job_id id) {
    return drained_wait + milliseconds{static_cast<std::int64_t>(id % overload_spread_ms)};
}

} // namespace

admission dispatcher::admit(const step_job& job, time_point now) {
    admission decided;
    decided.wanted = job.get_long_running_millicores();
    if (m_long_running.contains(job.id)) { // submitted again while the first submission is being decided
        return decided;
    }
    if (m_load.lag > m_settings.max_lag) {
        ++m_counts.refused_jobs;
        decided.outcome = admission::admission_outcome::overloaded;
        decided.lag = m_load.lag;
        decided.retry_after = get_overload_wait(job.id);
        return decided;
    }
    if (m_drained_pools.contains(job.queue.pool)) {
        ++m_counts.refused_jobs;
        decided.outcome = admission::admission_outcome::data_centres_drained;
        decided.retry_after = get_drained_wait(job.id);
        return decided;
    }
    if (decided.wanted == 0) {
        if (m_settings.decisions.refuse_late) {
            admit_by_forecast(decided, job, now);
        }
        return decided;
    }
    const auto& pool = job.queue.pool;
    decided.reserved = m_long_running.get_reserved(pool);
    decided.allowed = m_long_running.get_allowed(pool, now);
    if (m_long_running.has_room(pool, decided.wanted, now)) {
        // Counted from now on, so that jobs arriving at the same moment do not all find the same room.
        m_long_running.add(job.id, pool, decided.wanted);
        return decided;
    }
    ++m_counts.refused_jobs;
    decided.outcome = admission::admission_outcome::long_running_quota;
    decided.retry_after = m_long_running.get_retry_after(job.id, pool, decided.wanted, now);
    return decided;
}

void dispatcher::cancel_admission(job_id job) {
    if (!m_jobs.contains(job)) {
        m_long_running.remove(job);
        m_completion.on_ended(job);
    }
}

void dispatcher::observe_pools(time_point now) {
    if (now < m_next_pools) {
        return;
    }
    m_next_pools = now + pool_interval;
    std::map<std::string, long_running_quota::pool_use> pools;
    std::map<std::string, std::int64_t> reserved; // millicores
    std::set<std::string> open_pools;             // with a worker on which tasks may start
    std::set<std::string> drained_pools;          // with a worker in a drained data centre
    for (const auto* worker : m_workers.get_all()) {
        if (worker->counts_for_pool()) {
            auto& use = pools[worker->report.pool];
            use.capacity += worker->get_pool_capacity().millicores;
            (worker->is_data_centre_drained ? drained_pools : open_pools).insert(worker->report.pool);
            use.other_demand += worker->short_task_millicores + worker->filling_millicores;
            reserved[worker->report.pool] += worker->reserved.millicores;
        }
    }
    for (const auto& [key, ready] : m_ready) {
        if (!ready.job->steps[key.step].long_running) {
            pools[ready.job->queue.pool].other_demand += ready.get_wanted(key);
        }
    }
    m_underused_pools.clear();
    m_drained_pools.clear();
    for (const auto& [pool, use] : pools) {
        const bool is_drained = drained_pools.contains(pool) && !open_pools.contains(pool);
        if (is_drained && have_workers_reported(now)) {
            m_drained_pools.insert(pool);
        }
        m_long_running.observe(pool, use, now);
        if (2 * reserved[pool] < use.capacity) {
            m_underused_pools.insert(pool);
        }
    }
    measure_filling_backlog();
    if (m_settings.decisions.refuse_late) {
        update_forecast(now);
    }
}

void dispatcher::measure_filling_backlog() {
    std::int64_t running = 0; // millicores of filling tasks
    std::int64_t waiting = 0;
    for (const auto* worker : m_workers.get_all()) {
        running += worker->filling_millicores;
    }
    for (const auto& [key, ready] : m_ready) {
        waiting += ready.job->steps[key.step].is_filling ? ready.get_wanted(key) : 0;
    }
    const auto share = static_cast<double>(waiting) / static_cast<double>(std::max<std::int64_t>(running, 1));
    m_demand.filling_backlog += backlog_weight * (std::min(share, 1.0) - m_demand.filling_backlog);
}

} // namespace poplarpitch
