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
    const auto place = find_place(life);
    const auto number = static_cast<std::size_t>(std::distance(m_all.cbegin(), place));
    m_all.insert(place, &worker);
    m_looks.insert(m_looks.begin() + static_cast<std::ptrdiff_t>(number), time_point{});
    number_from(number);
    return worker;
}

std::vector<worker_state*>::const_iterator worker_table::find_place(const worker_life& life) const {
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
    const auto place = found->second.place;
    m_all.erase(m_all.begin() + static_cast<std::ptrdiff_t>(place));
    m_looks.erase(m_looks.begin() + static_cast<std::ptrdiff_t>(place));
    m_by_life.erase(life);
    m_workers.erase(found);
    number_from(place);
}

const std::vector<worker_life>& worker_table::note_address(const worker_state& worker) {
    auto& lives = m_lives[worker.report.address];
    std::erase_if(lives, [this](const worker_life& life) { return find(life) == nullptr; });
    lives.push_back(worker.report.life);
    return lives;
}

std::vector<worker_state*> worker_table::find_other_lives(const worker_life& life) const {
    std::vector<worker_state*> others;
    for (auto place = find_place(worker_life::before_all(life.id));
         place != m_all.end() && (*place)->report.life.id == life.id; ++place) {
        if ((*place)->report.life != life) {
            others.push_back(*place);
        }
    }
    return others;
}

void worker_table::clear() {
    m_lives.clear();
    m_all.clear();
    m_looks.clear();
    m_by_life.clear();
    m_workers.clear();
}

void worker_table::look_at(const worker_state& worker, time_point when) {
    auto& look = m_looks[worker.place];
    look = std::min(look, when);
}

std::vector<worker_state*> worker_table::take_due(time_point now, time_point next) {
    std::vector<worker_state*> due;
    for (std::size_t place = 0; place < m_looks.size(); ++place) {
        if (m_looks[place] <= now) {
            m_looks[place] = next;
            due.push_back(m_all[place]);
        }
    }
    return due;
}

void worker_table::number_from(std::size_t place) {
    for (; place < m_all.size(); ++place) {
        m_all[place]->place = place;
    }
}

} // namespace poplarpitch
