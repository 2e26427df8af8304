#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/state/config_table.h"
#include "poplarpitch/state/fleet_table.h"
#include "poplarpitch/state/intent_table.h"
#include "poplarpitch/state/job_table.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/state/state_settings.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <memory>
#include <string>
#include <string_view>

namespace poplarpitch {

/// All replicated state. Applies the commands of the log in order. The result is deterministic: commands
/// carry every time and choice that they need, so equal logs give equal snapshots on every replica, byte for
/// byte (see `hash_state`). Thread safety: none, as for all methods; the control thread owns it.
class state_machine {
public:
    /// Creates an empty state.
    explicit state_machine(const state_settings& settings = {}, const state_rules& rules = {});

    /// Applies one command and returns its result. Precondition: `index` is greater than all previous ones.
    wire::command_result apply(log_index index, const wire::command& command);
    /// Decodes and applies the payload of a log entry. A payload that cannot be decoded changes nothing and
    /// returns `malformed`.
    wire::command_result apply_bytes(log_index index, std::string_view payload);

    /// Returns the versions of the configuration.
    [[nodiscard]] const config_table& get_configs() const { return m_configs; }
    /// Returns the sessions and workers.
    [[nodiscard]] const fleet_table& get_fleet() const { return m_fleet; }
    /// Returns the jobs.
    [[nodiscard]] const job_table& get_jobs() const { return m_jobs; }
    /// Returns the idempotency keys.
    [[nodiscard]] const intent_table& get_intents() const { return m_intents; }
    /// Returns the index of the last applied command.
    [[nodiscard]] log_index get_applied() const { return m_applied; }

    /// Returns the serialized snapshot of all state.
    [[nodiscard]] std::string save() const;
    /// Replaces all state by a snapshot. Returns false and changes nothing when `bytes` is not a snapshot.
    bool load(std::string_view bytes);
    /// Returns a hash of all state, to compare replicas and builds.
    [[nodiscard]] std::uint64_t hash_state() const;

private:
    std::error_code dispatch(log_index index, const wire::command& command, wire::command_result& outcome);
    std::error_code submit(log_index index, const wire::submit_job& command, wire::command_result& outcome);
    std::error_code assign(log_index index, const wire::assign_job& command);
    /// Copies the record of a job into `outcome` if the job exists.
    void attach_job(const std::string& id, wire::command_result& outcome) const;
    void attach_intent(const std::string& key, wire::command_result& outcome) const;
    void attach_worker(const std::string& id, wire::command_result& outcome) const;

    state_settings m_settings;
    state_rules m_rules;
    config_table m_configs;
    fleet_table m_fleet;
    job_table m_jobs;
    intent_table m_intents;
    log_index m_applied = 0;
};

} // namespace poplarpitch
