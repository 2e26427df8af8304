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

/// Places queued jobs: the tenant that holds least of its weighted share goes first, its urgent jobs before
/// the rest, within quotas; the worker is picked by `cost_placer`. An urgent job that fits nowhere has one
/// ordinary job moved out of its way, within a budget. Nothing is decided for good here: the owner's ledger
/// may still refuse. Thread safety: none, as for all methods.
class job_scheduler {
public:
    /// Takes a finished task's usage, to size later ones.
    void add_usage(const wire::usage_sample& sample);
    /// Returns at most `limit` commands that are due.
    std::vector<wire::command> run(const state_machine& state, const session_registry& sessions,
                                   std::size_t limit, time_point now, std::int64_t wall_ms);

private:
    struct tenant_queue;

    /// A need that found no room in this turn. Room only shrinks within a turn, so neither does one as large.
    struct unplaceable_need {
        resources need;
        std::uint32_t batch = 0; ///< dense number of the batch class
        bool is_urgent = false;
    };

    void add_to_spread(const std::string& tenant, std::uint32_t rack, std::uint32_t tasks);
    void build_candidates(const state_machine& state, const session_registry& sessions);
    void update_interference(const configuration& settings, const session_registry& sessions);
    [[nodiscard]] static std::vector<tenant_queue> make_tenant_queues(const state_machine& state);
    /// Fills in what differs from job to job: spread and past failures.
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
    std::vector<std::string> m_candidate_ids;         ///< worker of each candidate
    std::vector<std::vector<std::uint16_t>> m_spread; ///< active tasks by tenant, then rack
    std::vector<unplaceable_need> m_unplaceable;      ///< of this turn
};

} // namespace poplarpitch
