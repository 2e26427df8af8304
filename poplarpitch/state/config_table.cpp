#include "poplarpitch/state/config_table.h"

#include "poplarpitch/config/configuration_parser.h"

namespace poplarpitch {

config_table::config_table(const state_rules& rules, const state_settings& settings)
    : m_rules(rules), m_settings(settings), m_configuration(std::make_shared<const configuration>()) {}

std::uint64_t config_table::get_version() const {
    return m_history.empty() ? 0 : m_history.back().version();
}

const wire::config_version& config_table::get_current() const {
    return m_history.empty() ? wire::config_version::default_instance() : m_history.back();
}

std::error_code config_table::put(const wire::put_config& command, wire::command_result& outcome) {
    const auto known = m_change_by_id.find(command.change_id());
    const bool is_repeated = !command.change_id().empty() && known != m_change_by_id.end();
    if (is_repeated && m_rules.config_deduplicates_changes) {
        // Returns the first result again. It has only the version number and the change id, because the
        // version may no longer be in the history.
        outcome.set_repeated_change(true);
        outcome.mutable_config()->set_version(known->second.version());
        outcome.mutable_config()->set_change_id(command.change_id());
        return known->second.accepted() ? std::error_code{} : make_error_code(state_errc::version_conflict);
    }
    const bool is_accepted = command.base_version() == get_version() || !m_rules.config_compares_version;
    if (is_accepted) {
        // A text with errors is refused before it is proposed. Checks it again, as the log is the authority.
        if (!parse_configuration(command.text()).errors.empty()) {
            return state_errc::invalid_config;
        }
        wire::config_version next;
        next.set_version(get_version() + 1);
        next.set_text(command.text());
        next.set_change_id(command.change_id());
        next.set_author(command.author());
        next.set_at_ms(command.at_ms());
        m_history.push_back(next);
        while (m_history.size() > m_settings.max_history) {
            m_history.pop_front();
        }
        parse_current();
    }
    if (!command.change_id().empty()) {
        wire::change_outcome change;
        change.set_change_id(command.change_id());
        change.set_version(get_version());
        change.set_accepted(is_accepted);
        m_changes.push_back(change);
        m_change_by_id[command.change_id()] = change;
        while (m_changes.size() > m_settings.max_changes) {
            m_change_by_id.erase(m_changes.front().change_id());
            m_changes.pop_front();
        }
    }
    *outcome.mutable_config() = get_current();
    return is_accepted ? std::error_code{} : make_error_code(state_errc::version_conflict);
}

void config_table::parse_current() {
    m_configuration = std::make_shared<const configuration>(parse_configuration(get_current().text()).value);
}

void config_table::save(wire::state_snapshot& snapshot) const {
    for (const auto& version : m_history) {
        *snapshot.add_history() = version;
    }
    for (const auto& change : m_changes) {
        *snapshot.add_changes() = change;
    }
}

void config_table::load(const wire::state_snapshot& snapshot) {
    m_history.assign(snapshot.history().begin(), snapshot.history().end());
    m_changes.assign(snapshot.changes().begin(), snapshot.changes().end());
    m_change_by_id.clear();
    for (const auto& change : m_changes) {
        m_change_by_id[change.change_id()] = change;
    }
    parse_current();
}

} // namespace poplarpitch
