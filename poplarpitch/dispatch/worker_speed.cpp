#include "poplarpitch/dispatch/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double negligible_evidence_s = 0.3; // run-seconds: less than one list of one run shows

double get_weight(duration age, const worker_speed_settings& settings) {
    return std::exp(-to_seconds(age) / to_seconds(settings.memory));
}

} // namespace

void worker_speed::observe(double work_s, double took_s, time_point now) {
    if (took_s <= 0) {
        return;
    }
    const auto weight = m_time_s > 0 ? get_weight(now - m_observed_at, worker_speed_settings{}) : 0;
    m_work_s = m_work_s * weight + std::max(work_s, 0.0);
    m_time_s = m_time_s * weight + took_s;
    m_observed_at = now;
}

double worker_speed::get_evidence_s(const worker_speed_settings& settings, time_point now) const {
    return m_time_s * get_weight(now - m_observed_at, settings);
}

void worker_speed::observe_tail(bool is_slow, double took_s, time_point now) {
    const auto weight = get_weight(now - m_tail_at, worker_speed_settings{});
    m_slow_tail_s = m_slow_tail_s * weight + (is_slow ? took_s : 0);
    m_sound_tail_s = m_sound_tail_s * weight + (is_slow ? 0 : took_s);
    m_tail_at = now;
}

worker_speed::speed_state worker_speed::find_state(double median, const worker_speed_settings& settings,
                                                   time_point now) const {
    const auto evidence = get_evidence_s(settings, now);
    const auto tails = (m_slow_tail_s + m_sound_tail_s) * get_weight(now - m_tail_at, settings);
    if (median > 0 && evidence >= settings.min_evidence_s) {
        const auto share = get_speed() / median;
        if (share < settings.slow_share) {
            return speed_state::slow;
        }
        return share > settings.sound_share ? speed_state::sound : m_state;
    }
    if (tails >= settings.min_tail_s) {
        const auto slow_share = m_slow_tail_s / (m_slow_tail_s + m_sound_tail_s);
        if (slow_share >= settings.clear_share) {
            return speed_state::slow;
        }
        return slow_share <= 1 - settings.clear_share ? speed_state::sound : m_state;
    }
    const bool is_unknown = evidence < negligible_evidence_s && tails < negligible_evidence_s;
    return is_unknown && m_state == speed_state::slow ? speed_state::probation : m_state;
}

bool worker_speed::classify(double median, const worker_speed_settings& settings, time_point now) {
    const auto before = m_state;
    m_state = find_state(median, settings, now);
    return m_state != before;
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
