#include "poplarpitch/dispatch/worker_table.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <iterator>

namespace poplarpitch {

worker_state& worker_table::get(const worker_life& life) {
    if (auto* known = find(life); known != nullptr) {
        return *known;
    }
    auto& worker = m_workers[life];
    worker.report.life = life;
    worker.spread = hash_bytes(life.id);
    m_by_life[life] = &worker;
    const auto position = find_position(life);
    const auto index = static_cast<std::size_t>(std::distance(m_all.cbegin(), position));
    m_all.insert(position, &worker);
    m_check_times.insert(m_check_times.begin() + static_cast<std::ptrdiff_t>(index), time_point{});
    renumber_from(index);
    return worker;
}

std::vector<worker_state*>::const_iterator worker_table::find_position(const worker_life& life) const {
    return std::lower_bound(
        m_all.begin(), m_all.end(), life,
        [](const worker_state* other, const worker_life& wanted) { return other->report.life < wanted; });
}

worker_state* worker_table::find(const worker_life& life) const {
    const auto found = m_by_life.find(life);
    return found == m_by_life.end() ? nullptr : found->second;
}

void worker_table::erase(const worker_life& life) {
    const auto found = m_workers.find(life);
    if (found == m_workers.end()) {
        return;
    }
    const auto position = found->second.position;
    m_all.erase(m_all.begin() + static_cast<std::ptrdiff_t>(position));
    m_check_times.erase(m_check_times.begin() + static_cast<std::ptrdiff_t>(position));
    m_by_life.erase(life);
    m_workers.erase(found);
    renumber_from(position);
}

const std::vector<worker_life>& worker_table::add_address(const worker_state& worker) {
    auto& lives = m_lives[worker.report.address];
    std::erase_if(lives, [this](const worker_life& life) { return find(life) == nullptr; });
    lives.push_back(worker.report.life);
    return lives;
}

std::vector<worker_state*> worker_table::find_other_lives(const worker_life& life) const {
    std::vector<worker_state*> others;
    for (auto position = find_position(worker_life::before_all(life.id));
         position != m_all.end() && (*position)->report.life.id == life.id; ++position) {
        if ((*position)->report.life != life) {
            others.push_back(*position);
        }
    }
    return others;
}

void worker_table::clear() {
    m_lives.clear();
    m_all.clear();
    m_check_times.clear();
    m_by_life.clear();
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
