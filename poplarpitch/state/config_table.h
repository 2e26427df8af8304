#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/state/state_settings.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <memory>
#include <string>

namespace poplarpitch {

/// The versions of the operators' configuration. A change is a compare-and-set on the version, and its id is
/// remembered with its first answer, so that an operator whose answer was lost may send it again.
/// Thread safety: none, as for all methods.
class config_table {
public:
    config_table(const state_rules& rules, const state_settings& settings);

    /// Applies a change; `result` gets the accepted or the present version.
    std::error_code put(const wire::put_config& command, wire::command_result& outcome);

    /// Returns the present version's number; 0 when no configuration was accepted yet.
    [[nodiscard]] std::uint64_t get_version() const;
    /// Returns the present version's record; an empty one when there is none.
    [[nodiscard]] const wire::config_version& get_current() const;
    /// Returns the parsed present configuration, never null.
    [[nodiscard]] std::shared_ptr<const configuration> get_configuration() const { return m_configuration; }
    /// Returns the kept versions, oldest first.
    [[nodiscard]] const std::deque<wire::config_version>& get_history() const { return m_history; }

    /// Writes everything into a snapshot.
    void save(wire::state_snapshot& snapshot) const;
    /// Takes everything from a snapshot.
    void load(const wire::state_snapshot& snapshot);

private:
    void parse_current();

    state_rules m_rules;
    state_settings m_settings;
    std::deque<wire::config_version> m_history;
    std::deque<wire::change_outcome> m_changes; ///< oldest first
    absl::flat_hash_map<std::string, wire::change_outcome> m_change_by_id;
    std::shared_ptr<const configuration> m_configuration;
};

} // namespace poplarpitch
