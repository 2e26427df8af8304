#include "poplarpitch/dispatch/worker_table.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <iterator>

namespace poplarpitch {

worker_state& worker_table::get(const worker_incarnation& incarnation) {
    if (auto* known = find(incarnation); known != nullptr) {
        return *known;
    }
    auto& worker = m_workers[incarnation];
    worker.report.incarnation = incarnation;
    worker.worker_hash = hash_bytes(incarnation.id);
    m_by_incarnation[incarnation] = &worker;
    const auto position = find_position(incarnation);
    const auto index = static_cast<std::size_t>(std::distance(m_all.cbegin(), position));
    m_all.insert(position, &worker);
    m_check_times.insert(m_check_times.begin() + static_cast<std::ptrdiff_t>(index), time_point{});
    renumber_from(index);
    return worker;
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
    const auto position = found->second.position;
    m_all.erase(m_all.begin() + static_cast<std::ptrdiff_t>(position));
    m_check_times.erase(m_check_times.begin() + static_cast<std::ptrdiff_t>(position));
    m_by_incarnation.erase(incarnation);
    m_workers.erase(found);
    renumber_from(position);
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
    m_check_times.clear();
    m_by_incarnation.clear();
    m_workers.clear();
}

void worker_table::schedule_check(const worker_state& worker, time_point when) {
    auto& check_time = m_check_times[worker.position];
    check_time = std::min(check_time, when);
}

std::vector<worker_state*> worker_table::take_due(time_point now, time_point next) {
    std::vector<worker_state*> due;
    for (std::size_t position = 0; position < m_check_times.size(); ++position) {
        if (m_check_times[position] <= now) {
            m_check_times[position] = next;
            due.push_back(m_all[position]);
        }
    }
    return due;
}

void worker_table::renumber_from(std::size_t position) {
    for (; position < m_all.size(); ++position) {
        m_all[position]->position = position;
    }
}

} // namespace poplarpitch
