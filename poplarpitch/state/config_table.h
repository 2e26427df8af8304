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

/// The versions of the operators' configuration. A change is a compare-and-set on the version. Its id is
/// stored with its first result, so that an operator who did not receive the result may resend the change.
/// Thread safety: none, as for all methods.
class config_table {
public:
    /// Creates a table without a version.
    config_table(const state_rules& rules, const state_settings& settings);

    /// Applies a change. `outcome` receives the accepted version, or the current one after a refusal.
    std::error_code put(const wire::put_config& command, wire::command_result& outcome);

    /// Returns the number of the current version, or 0 when no configuration has been accepted yet.
    [[nodiscard]] std::uint64_t get_version() const;
    /// Returns the record of the current version. The record is empty when there is no version.
    [[nodiscard]] const wire::config_version& get_current() const;
    /// Returns the current configuration in parsed form. Never null.
    [[nodiscard]] std::shared_ptr<const configuration> get_configuration() const { return m_configuration; }
    /// Returns the versions in the history, oldest first.
    [[nodiscard]] const std::deque<wire::config_version>& get_history() const { return m_history; }

    /// Writes all versions and changes into a snapshot.
    void save(wire::state_snapshot& snapshot) const;
    /// Replaces all versions and changes by those of a snapshot.
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
