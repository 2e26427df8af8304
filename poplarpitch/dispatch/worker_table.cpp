#include "poplarpitch/dispatch/worker_table.h"

#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <iterator>

namespace poplarpitch {

worker_state& worker_table::get(const std::string& id) {
    if (auto* known = find(id); known != nullptr) {
        return *known;
    }
    auto& worker = m_workers[id];
    worker.report.id = id;
    worker.spread = hash_bytes(id);
    m_by_id[id] = &worker;
    const auto place = std::lower_bound(
        m_all.begin(), m_all.end(), id,
        [](const worker_state* other, const std::string& wanted) { return other->report.id < wanted; });
    const auto number = static_cast<std::size_t>(std::distance(m_all.begin(), place));
    m_all.insert(place, &worker);
    m_looks.insert(m_looks.begin() + static_cast<std::ptrdiff_t>(number), time_point{});
    number_from(number);
    return worker;
}

worker_state* worker_table::find(const std::string& id) const {
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() ? nullptr : found->second;
}

void worker_table::erase(const std::string& id) {
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    const auto place = found->second.place;
    m_all.erase(m_all.begin() + static_cast<std::ptrdiff_t>(place));
    m_looks.erase(m_looks.begin() + static_cast<std::ptrdiff_t>(place));
    m_by_id.erase(id);
    m_workers.erase(found);
    number_from(place);
}

const std::vector<std::string>& worker_table::note_address(const worker_state& worker) {
    auto& lives = m_lives[worker.report.address];
    std::erase_if(lives, [this](const std::string& id) { return find(id) == nullptr; });
    lives.push_back(worker.report.id);
    return lives;
}

void worker_table::clear() {
    m_lives.clear();
    m_all.clear();
    m_looks.clear();
    m_by_id.clear();
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
