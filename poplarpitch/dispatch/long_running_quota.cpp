#include "poplarpitch/dispatch/long_running_quota.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr duration learning_time =
    seconds{30}; // observation time before the demand of other tasks is relied on
constexpr double peak_decay_s =
    60; // time constant; longer than the swings of other demand (50% within 20 s), shorter than daily peaks
constexpr double peak_margin = 1.5; // multiple of the decayed peak of other demand that is kept free; in a
                                    // burst the demand is 1.5 times that peak
constexpr duration min_retry_after =
    seconds{5}; // lower bound; a job that runs for a minute frees no room sooner
constexpr duration max_retry_after =
    seconds{60}; // upper bound before the jitter is added; whatever the estimate, no caller is asked to wait
                 // longer than this plus the jitter
constexpr duration default_retry_after = seconds{30}; // while no job has ended yet
constexpr duration retry_after_while_reports_missing =
    seconds{1}; // while heartbeats of workers are still missing
constexpr job_id retry_jitter_levels =
    16;                                  // distinct delays, so that refused callers do not all return at once
constexpr double max_retry_jitter = 0.5; // the longest delay is 1.5 times the shortest

} // namespace

void long_running_quota::clear(time_point now) {
    m_cleared_at = now;
    m_jobs.clear();
    m_pools.clear();
    m_former.clear();
}

void long_running_quota::add(job_id job, const std::string& pool, std::int64_t millicores) {
    const auto [found, is_new] = m_jobs.try_emplace(job, job_reservation{pool, millicores});
    if (is_new) {
        m_pools[pool].reserved += millicores;
    }
}

void long_running_quota::remove(job_id job) {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    auto& state = m_pools[found->second.pool];
    state.reserved -= found->second.millicores;
    state.released += found->second.millicores;
    m_jobs.erase(found);
}

void long_running_quota::observe(const std::string& pool, const pool_use& use, time_point now) {
    auto& state = m_pools[pool];
    if (state.first_observed == time_point{}) {
        const auto former = m_former.find(pool);
        const bool is_known = former != m_former.end();
        state.first_observed = is_known ? now - former->second.observed_for : now;
        state.peak_demand = is_known ? former->second.peak_demand : 0;
        state.observed_at = now;
    }
    const double decay_factor = std::exp(-to_seconds(now - state.observed_at) / peak_decay_s);
    state.observed_at = now;
    state.peak_demand = std::max(static_cast<double>(use.other_demand), decay_factor * state.peak_demand);
    state.use = use;
}

bool long_running_quota::have_all_reported(time_point now) const {
    return now - m_cleared_at >= m_initial_report_time;
}

std::int64_t long_running_quota::get_allowed(const std::string& pool, time_point now) const {
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    const auto& state = found->second;
    const auto capacity = static_cast<double>(state.use.capacity);
    double allowed = m_share * capacity;
    if (now - state.first_observed >= learning_time) {
        allowed = std::max(allowed, capacity - peak_margin * state.peak_demand);
    }
    return static_cast<std::int64_t>(allowed);
}

std::int64_t long_running_quota::get_reserved(const std::string& pool) const {
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.reserved;
}

bool long_running_quota::has_room(const std::string& pool, std::int64_t millicores, time_point now) const {
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.use.capacity == 0) {
        return true; // no worker is known yet, so there is no reason to refuse the job
    }
    return found->second.reserved + millicores <= get_allowed(pool, now);
}

duration long_running_quota::get_retry_after(job_id job, const std::string& pool, std::int64_t millicores,
                                             time_point now) const {
    if (!have_all_reported(now)) {
        return retry_after_while_reports_missing;
    }
    double wait = to_seconds(default_retry_after);
    const auto found = m_pools.find(pool);
    if (found != m_pools.end() && found->second.released > 0) {
        const auto missing =
            static_cast<double>(found->second.reserved + millicores - get_allowed(pool, now));
        const double rate = static_cast<double>(found->second.released) / to_seconds(now - m_cleared_at);
        wait = std::clamp(missing / rate, to_seconds(min_retry_after), to_seconds(max_retry_after));
    }
    const double jitter =
        static_cast<double>(job % retry_jitter_levels) / static_cast<double>(retry_jitter_levels);
    wait *= 1 + max_retry_jitter * jitter;
    return milliseconds{static_cast<std::int64_t>(wait * 1000)};
}

std::string long_running_quota::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    job_wire::learned_quota message;
    for (const auto& [pool, state] : m_pools) {
        if (state.first_observed == time_point{}) {
            continue;
        }
        auto& item = *message.add_pools();
        item.set_pool(pool);
        item.set_peak_demand(std::round(state.peak_demand)); // a decaying peak would change without end
        item.set_observed_for_ms(std::min(to_milliseconds(state.observed_at - state.first_observed),
                                          to_milliseconds(learning_time)));
    }
    while (message.ByteSizeLong() > max_bytes) {
        message.mutable_pools()->RemoveLast();
    }
    return message.SerializeAsString();
}

bool long_running_quota::load(std::string_view body, std::int64_t /*wall_ms*/) {
    job_wire::learned_quota message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    m_former.clear();
    for (const auto& item : message.pools()) {
        if (std::isfinite(item.peak_demand()) && item.peak_demand() >= 0 && item.observed_for_ms() >= 0) {
            const auto observed = std::min<duration>(milliseconds{item.observed_for_ms()}, learning_time);
            m_former[item.pool()] = {item.peak_demand(), observed};
        }
    }
    return true;
}

} // namespace poplarpitch
