#include "poplarpitch/dispatch/fair_share.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace poplarpitch {
namespace {

constexpr double negligible_core_seconds = 0.001; // a thousandth of a small task
// A step that is placed before its turn may exceed the allowance by one step, and its tasks are placed over
// several passes. The delay that this adds is less than this.
constexpr duration placing_time = milliseconds{500};
constexpr double max_drain_share = 0.9; // the drain varies by a tenth with the lengths of tasks
constexpr double saved_unit = 0.001;    // core-seconds; the records need no more precision

std::int64_t get_due_ms(std::int64_t rank, time_point now) {
    return rank + to_milliseconds(now.time_since_epoch());
}

} // namespace

void fair_share::clear() {
    m_use.clear();
    m_decayed_at.reset();
    m_rooms.clear();
    m_keys.clear();
    m_without_room.clear();
}

double fair_share::get_decay(time_point from, time_point to) const {
    return std::exp2(-to_seconds(to - from) / to_seconds(m_settings.half_life));
}

double fair_share::get_weight(const share_key& key) const {
    const auto found = m_settings.weights.find(key.queue);
    return found == m_settings.weights.end() ? 1 : found->second;
}

void fair_share::add_use(const share_key& key, double core_seconds, time_point now) {
    if (m_decayed_at.has_value() && now > *m_decayed_at) {
        const auto decay = get_decay(*m_decayed_at, now);
        for (auto& [other, use] : m_use) {
            use *= decay;
        }
        std::erase_if(m_use, [](const auto& item) { return item.second < negligible_core_seconds; });
    }
    m_decayed_at = now;
    m_use[key] += core_seconds;
    if (m_use.size() > m_settings.max_keys) {
        drop_least_use();
    }
}

void fair_share::drop_least_use() {
    m_use.erase(std::min_element(m_use.begin(), m_use.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
    }));
}

std::set<std::size_t> fair_share::find_over_share(const std::vector<pass_entry>& steps) const {
    std::set<std::size_t> competing;
    for (const auto& step : steps) {
        if (!competing.contains(step.key) &&
            std::binary_search(m_without_room.begin(), m_without_room.end(), step.step)) {
            competing.insert(step.key);
        }
    }
    double sum = 0;
    double weights = 0;
    std::map<std::size_t, double> use;
    for (const auto key : competing) {
        const auto found = m_use.find(m_keys[key]);
        use[key] = found == m_use.end() ? 0 : found->second;
        sum += use[key];
        weights += get_weight(m_keys[key]);
    }
    std::set<std::size_t> over;
    for (const auto& [key, amount] : use) {
        if (amount * weights > sum * get_weight(m_keys[key])) {
            over.insert(key);
        }
    }
    return over.size() < use.size() ? over : std::set<std::size_t>{}; // all can be over by rounding only
}

double fair_share::get_allowance(const room_state& room, time_point now) const {
    if (room.debts.size() >= m_settings.max_debts) {
        return 0;
    }
    // The decayed sum of a constant rate is the rate times the half-life over the logarithm of 2. It is less
    // than that at first, so the bound is met from the start.
    const auto placed = room.placed_core_seconds * get_decay(room.decayed_at, now);
    const auto drain = placed * std::log(2.0) / to_seconds(m_settings.half_life);
    const auto delay = std::max<duration>(m_settings.max_delay - placing_time, duration{0});
    auto allowance = max_drain_share * drain * to_seconds(delay);
    for (const auto& debt : room.debts) {
        allowance -= debt.core_seconds;
    }
    return allowance;
}

void fair_share::settle_debts(room_state& room, time_point now) {
    std::map<int, std::int64_t> first_due; // of the steps that wait, by class
    for (const auto& step : room.steps) {
        const auto due = get_due_ms(step.rank, now);
        const auto known = first_due.try_emplace(step.lateness, due).first;
        known->second = std::min(known->second, due);
    }
    std::erase_if(room.debts, [&](const debt& item) {
        const auto first = first_due.find(item.lateness);
        return first == first_due.end() || first->second >= item.due_ms;
    });
}

std::vector<step_key> fair_share::correct_order(const room_state& room, double allowance) {
    std::vector<step_key> order;
    std::vector<step_key> others; // that go behind those of their class which go first
    order.reserve(room.steps.size());
    int lateness = 0;
    for (const auto& step : room.steps) {
        // Slack of more than a quarter of an hour ranks behind late steps, so a class need not be in one
        // piece.
        if (step.lateness != lateness) {
            order.insert(order.end(), others.begin(), others.end());
            others.clear();
            lateness = step.lateness;
        }
        const bool goes_first = !room.over_share.contains(step.key) && (others.empty() || allowance > 0);
        if (goes_first && !others.empty()) {
            allowance -= static_cast<double>(step.tasks) * step.task_core_seconds;
        }
        (goes_first ? order : others).push_back(step.step);
    }
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

void fair_share::sort_into_rooms(const std::vector<waiting_step>& steps) {
    for (auto& [kind, room] : m_rooms) {
        room.steps.clear();
        room.over_share.clear();
    }
    m_keys.clear();
    std::map<share_key, std::size_t> indexes;
    for (const auto& step : steps) {
        const auto [index, is_new] = indexes.try_emplace(step.key, m_keys.size());
        if (is_new) {
            m_keys.push_back(step.key);
        }
        m_rooms[step.room].steps.push_back(
            {step.rank, step.step, step.lateness, index->second, step.tasks, step.task_core_seconds});
    }
    for (auto& [kind, room] : m_rooms) {
        std::sort(room.steps.begin(), room.steps.end(), [](const pass_entry& left, const pass_entry& right) {
            return std::tie(left.rank, left.step) < std::tie(right.rank, right.step);
        });
    }
}

void fair_share::begin_pass(ranked_steps& ranked, const std::vector<waiting_step>& steps, time_point now) {
    sort_into_rooms(steps);
    ranked_steps uncorrected;
    for (auto& [kind, room] : m_rooms) {
        settle_debts(room, now);
        room.over_share = find_over_share(room.steps);
        const auto allowance = room.over_share.empty() ? 0 : get_allowance(room, now);
        if (allowance <= 0) {
            room.over_share.clear();
            continue;
        }
        if (uncorrected.empty()) {
            uncorrected = ranked;
        }
        auto place = uncorrected.begin(); // both lists are in the same order
        std::size_t index = 0;
        for (const auto& step : correct_order(room, allowance)) {
            const std::pair next{room.steps[index].rank, room.steps[index].step};
            place = std::find(place, uncorrected.end(), next);
            ranked[static_cast<std::size_t>(place - uncorrected.begin())].second = step;
            ++index;
        }
    }
}

void fair_share::record_pass(room_state& room, const std::function<std::size_t(const step_key&)>& count_left,
                             time_point now) {
    room.placed_core_seconds *= get_decay(room.decayed_at, now);
    room.decayed_at = now;
    std::set<int> passed_over; // classes in which a step that was put behind the others still waits
    for (const auto& step : room.steps) {
        const auto left = std::min(count_left(step.step), step.tasks);
        const auto placed = static_cast<double>(step.tasks - left) * step.task_core_seconds;
        room.placed_core_seconds += placed;
        const bool is_over = room.over_share.contains(step.key);
        if (left > 0) {
            m_without_room.push_back(step.step);
            if (is_over) {
                passed_over.insert(step.lateness);
            }
        }
        if (placed > 0 && !is_over && passed_over.contains(step.lateness)) {
            room.debts.push_back({get_due_ms(step.rank, now), step.lateness, placed});
        }
    }
    room.steps.clear();
}

void fair_share::end_pass(const std::function<std::size_t(const step_key&)>& count_left, time_point now) {
    m_without_room.clear();
    for (auto& [kind, room] : m_rooms) {
        record_pass(room, count_left, now);
    }
    std::sort(m_without_room.begin(), m_without_room.end());
    std::erase_if(m_rooms, [](const auto& item) {
        return item.second.debts.empty() && item.second.placed_core_seconds < negligible_core_seconds;
    });
}

std::map<std::string, double> fair_share::get_queue_shares() const {
    std::map<std::string, double> shares;
    double sum = 0;
    for (const auto& [key, use] : m_use) {
        shares[key.queue] += use;
        sum += use;
    }
    for (auto& [queue, share] : shares) {
        share = sum > 0 ? share / sum : 0;
    }
    return shares;
}

double fair_share::get_use(const share_key& key, time_point now) const {
    const auto found = m_use.find(key);
    const auto decay = m_decayed_at.has_value() ? get_decay(*m_decayed_at, now) : 1;
    return found == m_use.end() ? 0 : found->second * decay;
}

double fair_share::get_debt(const room_kind& room) const {
    const auto found = m_rooms.find(room);
    double sum = 0;
    if (found != m_rooms.end()) {
        for (const auto& debt : found->second.debts) {
            sum += debt.core_seconds;
        }
    }
    return sum;
}

/// The use is that of the last assignment, so the bytes stay the same while nothing is assigned. The decay
/// since then is the same for all keys and does not change their shares.
std::string fair_share::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    std::vector<std::pair<double, share_key>> order;
    for (const auto& [key, use] : m_use) {
        order.emplace_back(-use, key);
    }
    std::sort(order.begin(), order.end()); // the most use comes first
    job_wire::learned_shares message;
    std::size_t bytes = 0;
    for (const auto& [negated_use, key] : order) {
        job_wire::learned_shares::use item;
        item.set_queue(key.queue);
        item.set_data_centre(key.data_centre);
        item.set_core_seconds(std::round(-negated_use / saved_unit) * saved_unit);
        constexpr std::size_t item_overhead_bytes = 4;
        bytes += item.ByteSizeLong() + item_overhead_bytes;
        if (bytes > max_bytes) {
            break;
        }
        *message.add_uses() = item;
    }
    return message.SerializeAsString();
}

bool fair_share::load(std::string_view body, std::int64_t /*wall_ms*/) {
    job_wire::learned_shares message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    std::map<share_key, double> loaded;
    for (const auto& item : message.uses()) {
        if (!std::isfinite(item.core_seconds()) || item.core_seconds() < 0) {
            return false;
        }
        if (loaded.size() < m_settings.max_keys) {
            loaded[{item.queue(), item.data_centre()}] = item.core_seconds();
        }
    }
    m_use = std::move(loaded);
    m_decayed_at.reset();
    return true;
}

} // namespace poplarpitch
