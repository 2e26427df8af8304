#include "poplarpitch/dispatch/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace poplarpitch {
namespace {

constexpr std::size_t max_tasks = 32;         // a worker has fewer runs that end, so this rarely binds
constexpr double negligible_time_s = 0.02;    // run-seconds below which a task is forgotten
constexpr double least_relative_speed = 0.01; // so that the time left stays finite

double get_weight(duration age, duration memory) {
    return std::exp(-to_seconds(age) / to_seconds(memory));
}

} // namespace

void worker_speed::observe(const task_key& task, double work_s, double took_s,
                           const worker_speed_settings& settings, time_point now) {
    if (took_s <= 0) {
        return;
    }
    const auto weight = get_weight(now - m_observed_at, settings.memory);
    for (auto& row : m_tasks) {
        row.work_s *= weight;
        row.time_s *= weight;
    }
    std::erase_if(m_tasks, [](const task_evidence& row) { return row.time_s < negligible_time_s; });
    auto found = std::find_if(m_tasks.begin(), m_tasks.end(),
                              [&](const task_evidence& row) { return row.task == task; });
    if (found == m_tasks.end() && m_tasks.size() >= max_tasks) {
        m_tasks.erase(
            std::min_element(m_tasks.begin(), m_tasks.end(),
                             [](const auto& left, const auto& right) { return left.time_s < right.time_s; }));
        found = m_tasks.end();
    }
    if (found == m_tasks.end()) {
        m_tasks.push_back({task, 0, 0});
        found = m_tasks.end() - 1;
    }
    found->work_s += std::max(work_s, 0.0);
    found->time_s += took_s;
    const auto recent_weight = get_weight(now - m_observed_at, settings.recent_memory);
    m_recent_work_s = m_recent_work_s * recent_weight + std::max(work_s, 0.0);
    m_recent_time_s = m_recent_time_s * recent_weight + took_s;
    m_observed_at = now;
}

double worker_speed::get_speed() const {
    double work_s = 0;
    double time_s = 0;
    for (const auto& row : m_tasks) {
        work_s += row.work_s;
        time_s += row.time_s;
    }
    return time_s > 0 ? work_s / time_s : 0;
}

double worker_speed::get_evidence_s(const worker_speed_settings& settings, time_point now) const {
    double time_s = 0;
    for (const auto& row : m_tasks) {
        time_s += row.time_s;
    }
    return time_s * get_weight(now - m_observed_at, settings.memory);
}

void worker_speed::observe_tail(bool is_slow, double took_s, const worker_speed_settings& settings,
                                time_point now) {
    const auto weight = get_weight(now - m_tail_at, settings.memory);
    m_slow_tail_s = m_slow_tail_s * weight + (is_slow ? took_s : 0);
    m_sound_tail_s = m_sound_tail_s * weight + (is_slow ? 0 : took_s);
    m_sound_tail_run = is_slow ? 0 : m_sound_tail_run + took_s;
    m_tail_at = now;
}

bool worker_speed::has_slow_tails(const worker_speed_settings& settings, time_point now) const {
    const auto total = m_slow_tail_s + m_sound_tail_s;
    return total * get_weight(now - m_tail_at, settings.memory) >= settings.min_tail_s &&
           m_slow_tail_s >= settings.clear_share * total;
}

bool worker_speed::has_recovered_tails(const worker_speed_settings& settings, time_point now) const {
    return now - m_tail_at < seconds{1} && m_sound_tail_run >= settings.sound_tail_s;
}

template <class Same>
bool worker_speed::is_below(double limit, double min_other_s, const Same& is_same) const {
    return std::all_of(m_tasks.begin(), m_tasks.end(), [&](const task_evidence& left_out) {
        double work_s = 0;
        double time_s = 0;
        for (const auto& row : m_tasks) {
            if (!is_same(row.task, left_out.task)) {
                work_s += row.work_s;
                time_s += row.time_s;
            }
        }
        return time_s >= min_other_s && work_s < limit * time_s;
    });
}

worker_speed::speed_state worker_speed::find_state_of_sound(double median,
                                                            const worker_speed_settings& settings,
                                                            time_point now) const {
    if (median <= 0 || get_evidence_s(settings, now) < settings.min_evidence_s) {
        return has_slow_tails(settings, now) ? speed_state::slow : speed_state::sound;
    }
    const auto limit = settings.slow_share * median;
    if (get_speed() >= limit) {
        return speed_state::sound;
    }
    const auto min_other_s = settings.min_other_s / get_weight(now - m_observed_at, settings.memory);
    const bool is_slow = is_below(limit, min_other_s, std::equal_to<task_key>()) &&
                         is_below(limit, min_other_s, [](const task_key& left, const task_key& right) {
                             return left.step == right.step;
                         });
    const bool is_far_slower =
        is_below(settings.single_step_share * median, min_other_s, std::equal_to<task_key>());
    return is_slow || is_far_slower || has_slow_tails(settings, now) ? speed_state::slow : speed_state::sound;
}

worker_speed::speed_state
worker_speed::find_state_of_slow(double median, const worker_speed_settings& settings, time_point now) const {
    const auto recent_s = m_recent_time_s * get_weight(now - m_observed_at, settings.recent_memory);
    const bool works_fast = median > 0 && recent_s >= settings.min_recent_s &&
                            m_recent_work_s > settings.sound_share * median * m_recent_time_s;
    const bool works_at_all = now - m_observed_at < seconds{1};
    if (works_fast || (!works_at_all && has_recovered_tails(settings, now))) {
        return speed_state::sound;
    }
    const auto last_evidence = std::max({m_since, m_observed_at, m_tail_at});
    return now - last_evidence >= m_retry_after ? speed_state::probation : speed_state::slow;
}

worker_speed::speed_state worker_speed::find_state_on_probation(double median,
                                                                const worker_speed_settings& settings,
                                                                time_point now) const {
    if (median > 0 && get_evidence_s(settings, now) >= settings.min_trial_s) {
        const auto share = get_speed() / median;
        return share < settings.slow_share    ? speed_state::slow
               : share > settings.sound_share ? speed_state::sound
                                              : speed_state::probation;
    }
    if (has_slow_tails(settings, now)) {
        return speed_state::slow;
    }
    const bool is_over = has_recovered_tails(settings, now) || now - m_since >= settings.probation_limit;
    return is_over ? speed_state::sound : speed_state::probation;
}

worker_speed::speed_state worker_speed::find_state(double median, const worker_speed_settings& settings,
                                                   time_point now) const {
    switch (m_state) {
    case speed_state::sound:
        return find_state_of_sound(median, settings, now);
    case speed_state::slow:
        return find_state_of_slow(median, settings, now);
    case speed_state::probation:
        return find_state_on_probation(median, settings, now);
    }
    return m_state;
}

void worker_speed::forget_evidence() {
    m_tasks.clear();
    m_recent_work_s = 0;
    m_recent_time_s = 0;
    m_slow_tail_s = 0;
    m_sound_tail_s = 0;
    m_sound_tail_run = 0;
}

bool worker_speed::classify(double median, const worker_speed_settings& settings, time_point now) {
    const auto before = m_state;
    m_state = find_state(median, settings, now);
    if (m_state == speed_state::slow && median > 0 && !m_tasks.empty()) {
        m_relative_speed = get_speed() / median;
        m_median = median;
    }
    if (m_state == before) {
        return false;
    }
    m_since = now;
    if (m_state == speed_state::slow) {
        m_retry_after = before == speed_state::probation
                            ? std::min(2 * m_retry_after, settings.max_retry_after)
                            : settings.retry_after;
    } else {
        forget_evidence(); // what it showed has been taken into account
        m_relative_speed = 0;
        m_median = 0;
    }
    return true;
}

bool worker_speed::would_end_sooner_elsewhere(double left, double lost, double expected_s,
                                              const worker_speed_settings& settings) const {
    const auto relative = m_relative_speed > 0 ? m_relative_speed : settings.slow_share;
    const auto median = m_median > 0 ? m_median : 1;
    const auto elsewhere_s = (left + lost) * expected_s / median + settings.new_run_time_s;
    const auto here_s = left * expected_s / median / std::max(relative, least_relative_speed);
    return here_s > settings.min_gain * elsewhere_s;
}

double get_median_speed(std::vector<double> speeds, const worker_speed_settings& settings) {
    if (speeds.size() < settings.min_pool) {
        return 0;
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

} // namespace poplarpitch
