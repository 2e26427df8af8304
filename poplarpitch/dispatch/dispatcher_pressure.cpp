// Tasks that fill beside tasks that serve: what is learned, and how filling tasks are paced and moved.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double placing_share = 0.72; // of a target: tails swing by a fifth within the life of a filling task
constexpr double pacing_share = 0.82;  // of a target: paced from here on
constexpr double swing = 0.03;         // own load that may come until the next look
constexpr duration tail_window = milliseconds{500}; // a tail tells of the last half second
constexpr int pace_step = 20;          // percent; smaller changes are not worth an order
constexpr int slowest_useful = 30;     // percent; a task slower than this is moved
constexpr duration move_after = milliseconds{500}; // paced that low for this long
constexpr std::int64_t lost_percent = 25; // of a task without checkpoints that a move may throw away

} // namespace

void dispatcher::refresh_pressure(worker_state& worker) {
    worker.pressure.groups.clear();
    if (worker.servings == 0) {
        return;
    }
    const auto room = static_cast<double>(std::max<std::int64_t>(worker.report.capacity.millicores, 1));
    for (const auto& key : worker.runs) {
        const auto& track = *find(key);
        const auto& spec = track.get_spec();
        if (!spec.is_serving()) {
            continue;
        }
        auto& groups = worker.pressure.groups;
        auto group = std::find_if(groups.begin(), groups.end(),
                                  [&](const pressed_group& item) { return item.image == spec.image; });
        if (group == groups.end()) {
            groups.push_back({spec.image, 0, 1, 0});
            group = groups.end() - 1;
        }
        group->calm = std::max(group->calm, track.calm.load + swing);
        const auto target = static_cast<double>(spec.target_ms);
        group->limit = std::min(group->limit, m_pressure.get_limit(spec.image, target, placing_share));
    }
    for (const auto& key : worker.runs) {
        const auto& spec = find(key)->get_spec();
        if (!spec.fills) {
            continue;
        }
        for (auto& group : worker.pressure.groups) {
            group.press += m_pressure.get_careful_factor(group.image, spec.image) *
                           static_cast<double>(spec.millicores) / room;
        }
    }
}

void dispatcher::note_ended_fill(worker_state& worker, const run_track& track, time_point now) {
    const auto room = static_cast<double>(std::max<std::int64_t>(worker.report.capacity.millicores, 1));
    const auto share = static_cast<double>(track.level) / room;
    if (worker.servings > 0 && share > 0) {
        worker.ended_fills.push_back({track.get_spec().image, share, now});
    }
}

void dispatcher::observe_pressure(worker_state& worker, time_point now) {
    if (worker.servings == 0) {
        return;
    }
    const auto room = static_cast<double>(std::max<std::int64_t>(worker.report.capacity.millicores, 1));
    std::vector<image_share> others;
    for (const auto& key : worker.runs) {
        const auto& track = *find(key);
        if (track.get_spec().fills && track.level > 0) {
            others.push_back({track.get_spec().image, static_cast<double>(track.level) / room});
        }
    }
    std::erase_if(worker.ended_fills, [now](const ended_fill& fill) { return now - fill.ended_at >= tail_window; });
    for (const auto& fill : worker.ended_fills) {
        const auto left = 1 - to_seconds(now - fill.ended_at) / to_seconds(tail_window);
        others.push_back({fill.image, fill.share * left});
    }
    for (const auto& key : worker.runs) {
        auto& track = *find(key);
        const auto& spec = track.get_spec();
        if (!spec.is_serving() || track.level <= 0 || track.percent < 100) {
            continue;
        }
        const auto since = track.observed_at == time_point{} ? 1.0 : to_seconds(now - track.observed_at);
        track.observed_at = now;
        m_pressure.observe(spec.image, static_cast<double>(track.level), static_cast<double>(spec.target_ms), others,
                           since, track.calm);
    }
    plan_paces(worker, now);
    refresh_pressure(worker);
}

/// Paces are planned from what is expected of each filling task at full speed, so that a task gets its speed
/// back as soon as the others' load allows; a tail over its target stops those that may cause it at once.
void dispatcher::plan_paces(worker_state& worker, time_point now) {
    if (worker.servings == 0 || worker.fills == 0) {
        return;
    }
    const auto room = static_cast<double>(std::max<std::int64_t>(worker.report.capacity.millicores, 1));
    std::vector<run_track*> fills;
    for (const auto& key : worker.runs) {
        auto& track = *find(key);
        if (track.get_spec().fills && track.stage == run_stage::running && !track.is_stop_wanted && !track.is_ending) {
            track.planned_pace = 100;
            fills.push_back(&track);
        }
    }
    for (const auto& key : worker.runs) {
        const auto& serving = *find(key);
        const auto& spec = serving.get_spec();
        if (!spec.is_serving() || serving.level <= 0) {
            continue;
        }
        const auto target = static_cast<double>(spec.target_ms);
        double excess = serving.calm.load + swing - m_pressure.get_limit(spec.image, target, pacing_share);
        const auto get_press = [&](const run_track& fill) {
            return m_pressure.get_factor(spec.image, fill.get_spec().image) *
                   static_cast<double>(fill.get_spec().millicores) / room;
        };
        for (const auto* fill : fills) {
            excess += get_press(*fill) * fill->planned_pace / 100;
        }
        const bool is_over = static_cast<double>(serving.level) > target;
        if (is_over) {
            const auto seen = m_pressure.get_utilisation(spec.image, static_cast<double>(serving.level), target);
            excess = std::max(excess, seen - m_pressure.get_limit(spec.image, target, pacing_share));
        }
        std::sort(fills.begin(), fills.end(),
                  [&](const run_track* left, const run_track* right) { return get_press(*left) > get_press(*right); });
        for (auto* fill : fills) {
            if (excess <= 0) {
                break;
            }
            const double press = get_press(*fill) * fill->planned_pace / 100;
            const double left = std::max(0.0, 1 - excess / std::max(press, 1e-6));
            const int pace = static_cast<int>(left * fill->planned_pace);
            excess -= press * (1 - left);
            fill->planned_pace = pace;
        }
    }
    for (auto* fill : fills) {
        order_pace(worker, *fill, now);
    }
}

void dispatcher::order_pace(worker_state& worker, run_track& fill, time_point now) {
    if (fill.planned_pace >= slowest_useful) {
        fill.slow_since = time_point{};
    } else if (fill.slow_since == time_point{}) {
        fill.slow_since = now;
    }
    const auto& spec = fill.get_spec();
    const bool may_move = spec.checkpointing || fill.percent < lost_percent;
    if (may_move && fill.slow_since != time_point{} && now - fill.slow_since > move_after) {
        stop_run(fill, now);
        return;
    }
    const bool is_end = fill.planned_pace == 0 || fill.planned_pace == 100;
    const int change = std::abs(fill.planned_pace - fill.pace);
    if (fill.is_pacing || change == 0 || (change < pace_step && !is_end)) {
        return;
    }
    fill.is_pacing = true;
    ++m_counts.paces;
    pace_order order;
    order.target = make_target(worker, m_settings.order_timeout);
    order.run = fill.key;
    order.percent = fill.planned_pace;
    m_orders.emplace_back(std::move(order));
}

void dispatcher::on_pace(const run_key& key, int percent, const order_answer& answer, time_point now) {
    auto* track = find(key);
    if (track == nullptr || !is_leading()) {
        return;
    }
    static_cast<void>(now);
    track->is_pacing = false;
    if (!answer.failure.has_value()) {
        track->pace = percent;
    }
}

} // namespace poplarpitch
