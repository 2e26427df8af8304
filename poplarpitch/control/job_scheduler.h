#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/policy/eviction_budget.h"
#include "poplarpitch/policy/interference_model.h"
#include "poplarpitch/policy/name_index.h"
#include "poplarpitch/policy/placement_candidate.h"
#include "poplarpitch/policy/probe_timer.h"
#include "poplarpitch/policy/usage_model.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

class session_registry;
class state_machine;
struct configuration;
struct tenant_usage;

/// Places queued jobs within the tenants' quotas. Urgent jobs come first; among equals, the tenant with the
/// lowest usage for its weight comes first. `cost_placer` picks the worker. For an urgent job that fits
/// nowhere one ordinary job is evicted, within a budget. A placement is not final: the ledger of the owner
/// may still refuse it. Thread safety: none, as for all methods.
class job_scheduler {
public:
    /// Adds the measured usage of a finished task to the model that sizes later reservations.
    void add_usage(const wire::usage_sample& sample);
    /// Places jobs and returns the commands for it, at most `limit`.
    std::vector<wire::command> run(const state_machine& state, const session_registry& sessions,
                                   std::size_t limit, time_point now, std::int64_t wall_ms);

private:
    struct tenant_queue;

    /// A need for which no worker had room in this run. Free capacity only shrinks during a run, so a need of
    /// the same class and urgency that is at least as large cannot be placed either.
    struct unplaceable_need {
        resources need;
        std::uint32_t batch = 0; ///< dense number of the batch class
        bool is_urgent = false;
    };

    void add_to_spread(const std::string& tenant, std::uint32_t rack, std::uint32_t tasks);
    void build_candidates(const state_machine& state, const session_registry& sessions);
    void update_interference(const configuration& settings, const session_registry& sessions);
    [[nodiscard]] static std::vector<tenant_queue> make_tenant_queues(const state_machine& state);
    /// Sets the fields of the candidates that depend on the job: tasks of its tenant per rack, and workers on
    /// which it failed.
    void update_candidates(const wire::job& job);
    [[nodiscard]] bool is_known_unplaceable(const placement_request& request) const;
    bool place(const wire::job& job, const state_machine& state, time_point now,
               std::vector<wire::command>& commands);
    void evict_for(const wire::job& urgent, const state_machine& state, time_point now,
                   std::vector<wire::command>& commands);
    [[nodiscard]] placement_request make_request(const wire::job& job);

    name_index m_services;
    name_index m_batches;
    name_index m_racks;
    name_index m_tenants;
    usage_model m_usage;
    interference_model m_interference;
    eviction_budget m_eviction_budget;
    probe_timer m_probes;
    std::vector<placement_candidate> m_candidates;
    std::vector<std::string> m_candidate_ids;         ///< worker id of each candidate, sorted
    std::vector<std::vector<std::uint16_t>> m_spread; ///< number of active tasks by tenant, then rack
    std::vector<unplaceable_need> m_unplaceable;      ///< of the current run
};

} // namespace poplarpitch
