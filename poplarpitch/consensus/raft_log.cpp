#include "poplarpitch/consensus/raft_log.h"

#include <cassert>

namespace poplarpitch {

void raft_log::reset(log_index index, log_term term) {
    m_base_index = index;
    m_base_term = term;
    m_entries.clear();
}

void raft_log::append(log_entry entry) {
    assert(entry.index == get_last_index() + 1);
    m_entries.push_back(std::move(entry));
}

void raft_log::truncate_from(log_index index) {
    assert(index > m_base_index);
    while (get_last_index() >= index) {
        m_entries.pop_back();
    }
}

void raft_log::compact(log_index index) {
    assert(index >= m_base_index && index <= get_last_index());
    while (m_base_index < index) {
        m_base_term = m_entries.front().term;
        m_entries.pop_front();
        ++m_base_index;
    }
}

log_term raft_log::get_last_term() const {
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<log_term> raft_log::find_term(log_index index) const {
    if (index == m_base_index) {
        return m_base_term;
    }
    if (index < m_base_index || index > get_last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& raft_log::at(log_index index) const {
    assert(index > m_base_index && index <= get_last_index());
    return m_entries[index - m_base_index - 1];
}

std::vector<log_entry> raft_log::copy_from(log_index first, std::size_t max_bytes) const {
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (auto index = first; index <= get_last_index(); ++index) {
        const auto& entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > max_bytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

} // namespace poplarpitch
