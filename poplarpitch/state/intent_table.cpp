#include "poplarpitch/state/intent_table.h"

namespace poplarpitch {
namespace {

constexpr std::uint32_t to_number(intent_phase phase) {
    return static_cast<std::uint32_t>(phase);
}

} // namespace

intent_table::intent_table(const state_rules& rules, std::size_t max_intents, std::size_t max_body)
    : m_rules(rules), m_max_intents(max_intents), m_max_body(max_body) {}

std::error_code intent_table::begin(const wire::intent& begun) {
    const auto found = m_intents.find(begun.key());
    if (found != m_intents.end()) {
        auto& record = found->second;
        if (record.request_hash() != begun.request_hash()) {
            return state_errc::key_conflict;
        }
        const bool may_begin_again =
            record.phase() == to_number(intent_phase::not_run) || !m_rules.intent_begins_once;
        if (!may_begin_again) {
            return state_errc::key_in_use;
        }
        record.set_phase(to_number(intent_phase::begun));
        record.set_entry(begun.entry());
        record.set_request_id(begun.request_id());
        m_begun_by_entry[begun.entry()].insert(begun.key());
        return {};
    }
    if (m_intents.size() >= m_max_intents) {
        return state_errc::intents_full;
    }
    auto record = begun;
    record.set_phase(to_number(intent_phase::begun));
    restore(std::move(record));
    return {};
}

std::error_code intent_table::end(const wire::intent& ended) {
    const auto found = m_intents.find(ended.key());
    if (found == m_intents.end()) {
        return state_errc::unknown_intent;
    }
    auto& record = found->second;
    if (record.request_id() != ended.request_id() || record.phase() == to_number(intent_phase::answered)) {
        return state_errc::not_allowed;
    }
    // After the outcome was recorded as unknown, only an answer may still change it.
    const bool is_late = record.phase() == to_number(intent_phase::unknown);
    if (is_late && ended.phase() != to_number(intent_phase::answered)) {
        return state_errc::not_allowed;
    }
    const auto begun = m_begun_by_entry.find(record.entry());
    if (begun != m_begun_by_entry.end()) {
        begun->second.erase(record.key());
        if (begun->second.empty()) {
            m_begun_by_entry.erase(begun);
        }
    }
    record.set_phase(ended.phase());
    record.set_status(ended.status());
    record.set_content_type(ended.content_type());
    if (ended.body().size() <= m_max_body) {
        record.set_body(ended.body());
    } else {
        record.set_phase(to_number(intent_phase::unknown)); // it ran, but its answer is too large to record
    }
    return {};
}

void intent_table::mark_unknown(const std::string& entry) {
    const auto found = m_begun_by_entry.find(entry);
    if (found == m_begun_by_entry.end()) {
        return;
    }
    for (const auto& key : found->second) {
        m_intents.at(key).set_phase(to_number(intent_phase::unknown));
    }
    m_begun_by_entry.erase(found);
}

void intent_table::expire(std::int64_t before_ms) {
    while (!m_by_time.empty() && m_by_time.begin()->first < before_ms) {
        const auto key = m_by_time.begin()->second;
        const auto found = m_intents.find(key);
        const auto begun = m_begun_by_entry.find(found->second.entry());
        if (begun != m_begun_by_entry.end()) {
            begun->second.erase(key);
        }
        m_intents.erase(found);
        m_by_time.erase(m_by_time.begin());
    }
}

const wire::intent* intent_table::find(const std::string& key) const {
    const auto found = m_intents.find(key);
    return found == m_intents.end() ? nullptr : &found->second;
}

void intent_table::for_each(const std::function<void(const wire::intent&)>& visit) const {
    for (const auto& [time, key] : m_by_time) {
        visit(m_intents.at(key));
    }
}

void intent_table::restore(wire::intent&& record) {
    m_by_time.insert({record.begun_ms(), record.key()});
    if (record.phase() == to_number(intent_phase::begun)) {
        m_begun_by_entry[record.entry()].insert(record.key());
    }
    auto key = record.key();
    m_intents.emplace(std::move(key), std::move(record));
}

} // namespace poplarpitch
