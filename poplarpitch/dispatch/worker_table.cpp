#include "poplarpitch/dispatch/worker_table.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>

namespace poplarpitch {

worker_state& worker_table::get(const worker_incarnation& incarnation) {
    if (auto* known = find(incarnation); known != nullptr) {
        return *known;
    }
    auto& worker = m_workers[incarnation];
    worker.report.incarnation = incarnation;
    worker.worker_hash = hash_bytes(incarnation.id);
    worker.slot = take_slot();
    m_by_slot[worker.slot] = &worker;
    m_by_incarnation[incarnation] = &worker;
    m_all.insert(find_position(incarnation), &worker);
    return worker;
}

std::size_t worker_table::take_slot() {
    if (m_free_slots.empty()) {
        m_by_slot.push_back(nullptr);
        m_check_times.emplace_back();
        return m_by_slot.size() - 1;
    }
    const auto slot = m_free_slots.back();
    m_free_slots.pop_back();
    m_check_times[slot] = time_point{};
    return slot;
}

std::vector<worker_state*>::const_iterator
worker_table::find_position(const worker_incarnation& incarnation) const {
    return std::lower_bound(m_all.begin(), m_all.end(), incarnation,
                            [](const worker_state* other, const worker_incarnation& wanted) {
                                return other->report.incarnation < wanted;
                            });
}

worker_state* worker_table::find(const worker_incarnation& incarnation) const {
    const auto found = m_by_incarnation.find(incarnation);
    return found == m_by_incarnation.end() ? nullptr : found->second;
}

void worker_table::erase(const worker_incarnation& incarnation) {
    const auto found = m_workers.find(incarnation);
    if (found == m_workers.end()) {
        return;
    }
    const auto slot = found->second.slot;
    m_by_slot[slot] = nullptr;
    m_check_times[slot] = time_point::max();
    m_free_slots.push_back(slot);
    m_all.erase(find_position(incarnation));
    m_by_incarnation.erase(incarnation);
    m_workers.erase(found);
}

const std::vector<worker_incarnation>& worker_table::add_address(const worker_state& worker) {
    auto& incarnations = m_incarnations[worker.report.address];
    std::erase_if(incarnations,
                  [this](const worker_incarnation& incarnation) { return find(incarnation) == nullptr; });
    incarnations.push_back(worker.report.incarnation);
    return incarnations;
}

std::vector<worker_state*>
worker_table::find_other_incarnations(const worker_incarnation& incarnation) const {
    std::vector<worker_state*> others;
    for (auto position = find_position(worker_incarnation::first_key_of(incarnation.id));
         position != m_all.end() && (*position)->report.incarnation.id == incarnation.id; ++position) {
        if ((*position)->report.incarnation != incarnation) {
            others.push_back(*position);
        }
    }
    return others;
}

void worker_table::clear() {
    m_incarnations.clear();
    m_all.clear();
    m_by_slot.clear();
    m_check_times.clear();
    m_free_slots.clear();
    m_by_incarnation.clear();
    m_workers.clear();
}

void worker_table::schedule_check(const worker_state& worker, time_point when) {
    auto& check_time = m_check_times[worker.slot];
    check_time = std::min(check_time, when);
}

std::vector<worker_state*> worker_table::take_due(time_point now, time_point next) {
    std::vector<worker_state*> due;
    for (std::size_t slot = 0; slot < m_check_times.size(); ++slot) {
        if (m_check_times[slot] <= now) {
            m_check_times[slot] = next;
            due.push_back(m_by_slot[slot]);
        }
    }
    std::sort(due.begin(), due.end(), [](const worker_state* left, const worker_state* right) {
        return left->report.incarnation < right->report.incarnation;
    });
    return due;
}

} // namespace poplarpitch
