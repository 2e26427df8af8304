#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// A tenant's claims on the fleet by its jobs that are not ended.
struct tenant_usage {
    std::int64_t open_jobs = 0;         ///< queued, assigned or running
    std::int64_t active_millicores = 0; ///< of assigned and running jobs
    std::int64_t active_accelerators = 0;

    friend auto operator<=>(const tenant_usage&, const tenant_usage&) = default;
};

/// All jobs, each a small state machine:
///
///     queued -> assigned -> running -> done | failed | cancelled
///       ^---------- evicted, refused, absent, lease over ----------'      parked | unknown: ended until an
///                                                                         operator resolves it
///
/// Every event names the attempt it tells of and is refused when the job has moved on, so events may come
/// late, twice or out of order. `lost` marks an attempt of which nobody can say whether it still runs: the
/// job keeps its worker and starts nowhere else until the lease has surely run out. Each event costs O(log
/// jobs); a cancellation touches one job and no other. Thread safety: none, as for all methods; replicas
/// apply the same calls in the same order.
class job_table {
public:
    explicit job_table(const state_rules& rules, std::size_t max_jobs);

    /// Adds a queued job, or answers for the one that exists with the same content.
    std::error_code submit(const wire::job& submitted, std::int64_t tenant_limit, log_index index);
    /// Gives a queued job to a worker whose process is of `incarnation`.
    std::error_code assign(const wire::assign_job& command, std::uint64_t incarnation, log_index index);
    /// Takes what happened to an attempt.
    std::error_code take_event(const wire::job_event& event, int max_attempts, log_index index);
    /// Cancels a job: at once when it is queued, else as soon as its worker confirms the stop.
    std::error_code cancel(const wire::cancel_job& command, log_index index);
    /// Ends the doubt about an unknown or parked job, as its operator decides.
    std::error_code resolve(const wire::resolve_job& command, log_index index);
    /// Forgets jobs that ended before `before_ms`.
    void expire(std::int64_t before_ms);

    /// Returns the job called `id`, or null.
    [[nodiscard]] const wire::job* find(const std::string& id) const;
    /// Calls `visit` for every job, ordered by id.
    void for_each(const std::function<void(const wire::job&)>& visit) const;
    /// Returns the tenants that have queued jobs, sorted.
    [[nodiscard]] std::vector<std::string> get_queued_tenants() const;
    /// Calls `visit` for the queued jobs of `tenant` in the order of submission, urgent ones first, until it
    /// returns false.
    void for_each_queued(const std::string& tenant, const std::function<bool(const wire::job&)>& visit) const;
    /// Calls `visit` for every assigned or running job of `worker`.
    void for_each_on(const std::string& worker, const std::function<void(const wire::job&)>& visit) const;
    /// Calls `visit` for every lost job.
    void for_each_lost(const std::function<void(const wire::job&)>& visit) const;

    /// Returns what the tenant's open jobs claim.
    [[nodiscard]] tenant_usage get_usage(const std::string& tenant) const;
    [[nodiscard]] std::size_t get_queued_count() const { return m_queued_count; }
    [[nodiscard]] std::size_t get_active_count() const { return m_active_count; }
    [[nodiscard]] std::size_t get_count() const { return m_jobs.size(); }

    /// Puts a job of a snapshot in place. Precondition: its id is not here.
    void restore(wire::job&& record);

private:
    /// Order in which queued jobs are considered.
    struct queue_key {
        bool is_ordinary;
        std::int64_t submitted_ms;
        std::string id;
        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    wire::job* find_mutable(const std::string& id);
    /// Takes the job out of every index, before a change.
    void unlink(const wire::job& record);
    /// Puts the job into every index that its state asks for, after a change.
    void link(const wire::job& record);
    void finish(wire::job& record, wire::job_state state, std::int64_t at_ms, const std::string& reason);
    void requeue(wire::job& record);
    void apply_event(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_failed(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_lease_over(wire::job& record, const wire::job_event& event);

    state_rules m_rules;
    std::size_t m_max_jobs;
    absl::node_hash_map<std::string, wire::job> m_jobs; ///< records are large: an empty slot must be small
    absl::btree_set<std::string> m_ids;                 ///< for ordered listing and snapshots
    absl::btree_map<std::string, absl::btree_set<queue_key>> m_queued; ///< by tenant
    std::size_t m_queued_count = 0;
    absl::flat_hash_map<std::string, absl::btree_set<std::string>> m_by_worker;
    absl::btree_set<std::string> m_lost;
    absl::btree_set<std::pair<std::int64_t, std::string>> m_ended; ///< by end time
    absl::flat_hash_map<std::string, tenant_usage> m_usage;
    std::size_t m_active_count = 0;
};

/// Returns true when `state` is one that a job leaves only by an operator. Thread safety: any thread.
[[nodiscard]] bool is_ended(wire::job_state state);
/// Returns true for assigned and running. Thread safety: any thread.
[[nodiscard]] bool is_active(wire::job_state state);

} // namespace poplarpitch
