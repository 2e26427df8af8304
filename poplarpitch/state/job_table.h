#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/state/job_claims.h"
#include "poplarpitch/state/packed_job.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarpitch {

/// Claims of a tenant's open jobs on the fleet.
struct tenant_usage {
    std::int64_t open_jobs = 0;         ///< queued, assigned or running
    std::int64_t active_millicores = 0; ///< claimed by assigned and running jobs
    std::int64_t active_accelerators = 0;

    friend auto operator<=>(const tenant_usage&, const tenant_usage&) = default;
};

/// All jobs. Each job is a small state machine:
///
///     queued -> assigned -> running -> done | failed | cancelled
///       ^---------- evicted, refused, absent, lease over ----------'      parked | unknown: ended until an
///                                                                         operator resolves it
///
/// Every event names the attempt that it belongs to. It is refused when the job is at another attempt, so
/// events may arrive late, twice or out of order. `lost` marks an attempt that may or may not still run. The
/// job keeps its worker and does not start elsewhere until the lease has certainly expired. Each event costs
/// O(log jobs). A cancellation changes one job only. Records are stored as bytes and the indexes hold
/// pointers to them, so that 10,000 tasks and the jobs that ended within a day fit into the memory of a small
/// instance. Thread safety: none, as for all methods; replicas apply the same calls in the same order.
class job_table {
public:
    /// Accepts at most `max_jobs` records with at most `max_bytes` bytes in total.
    job_table(const state_rules& rules, std::size_t max_jobs, std::size_t max_bytes);
    job_table(const job_table&) = delete; // the indexes hold pointers into the table
    job_table& operator=(const job_table&) = delete;
    job_table(job_table&&) = default;
    job_table& operator=(job_table&&) = default;
    ~job_table() = default;

    /// Adds a queued job. Succeeds without a change when the job exists with the same content.
    std::error_code submit(const wire::job& submitted, std::int64_t tenant_limit, log_index index);
    /// Assigns a queued job to a worker whose process has `incarnation`.
    std::error_code assign(const wire::assign_job& command, std::uint64_t incarnation, log_index index);
    /// Applies an event to the attempt that it names.
    std::error_code handle_event(const wire::job_event& event, int max_attempts, log_index index);
    /// Cancels a job. An assigned or running job ends once its worker confirms the stop, any other at once.
    std::error_code cancel(const wire::cancel_job& command, log_index index);
    /// Reruns or ends an unknown, parked or failed job, as an operator decides.
    std::error_code resolve(const wire::resolve_job& command, log_index index);
    /// Removes the jobs that ended before `before_ms`.
    void expire(std::int64_t before_ms);

    /// Returns true if job `id` exists. Cheaper than `find`, which decodes the record.
    [[nodiscard]] bool has(const std::string& id) const { return m_jobs.contains(id); }
    /// Returns job `id`, or nothing when it does not exist.
    [[nodiscard]] std::optional<wire::job> find(const std::string& id) const;
    /// Calls `visit` for every job, ordered by id.
    void for_each(const std::function<void(const wire::job&)>& visit) const;
    /// Calls `visit` with the bytes of every job's record, ordered by id.
    void for_each_packed(const std::function<void(std::string_view)>& visit) const;
    /// Returns the tenants that have queued jobs, sorted.
    [[nodiscard]] std::vector<std::string> get_queued_tenants() const;
    /// Returns at most `limit` queued jobs of `tenant`, urgent ones first, each group in order of submission.
    /// The pointers are valid until the next change.
    [[nodiscard]] std::vector<const packed_job*> get_queued(const std::string& tenant,
                                                            std::size_t limit) const;
    /// Calls `visit` for the assigned and running jobs of `worker` that changed after `since`, ordered by id.
    void for_each_active_on(const std::string& worker, log_index since,
                            const std::function<void(const wire::job&)>& visit) const;
    /// Calls `visit` for the id of every assigned or running job of `worker`, in order.
    void for_each_active_id_on(const std::string& worker,
                               const std::function<void(const std::string&)>& visit) const;
    /// Returns the claims of the assigned and running jobs of `worker`, or null when it has none.
    [[nodiscard]] const job_claims* find_claims(const std::string& worker) const;
    /// Calls `visit` for every lost job.
    void for_each_lost(const std::function<void(const wire::job&)>& visit) const;

    /// Returns the claims of the tenant's open jobs.
    [[nodiscard]] tenant_usage get_usage(const std::string& tenant) const;
    /// Returns the number of queued jobs.
    [[nodiscard]] std::size_t get_queued_count() const { return m_queued_count; }
    /// Returns the number of assigned and running jobs.
    [[nodiscard]] std::size_t get_active_count() const { return m_active_count; }
    /// Returns the number of all jobs.
    [[nodiscard]] std::size_t get_count() const { return m_jobs.size(); }
    /// Returns the total size of all records in bytes.
    [[nodiscard]] std::size_t get_bytes() const { return m_bytes; }

    /// Inserts a job of a snapshot. Precondition: the table does not have its id.
    void restore(const wire::job& record);

private:
    /// A job in the table. Its address is stable until the job is removed.
    using job_node = std::pair<const std::string, packed_job>;

    struct by_id {
        bool operator()(const job_node* left, const job_node* right) const {
            return left->first < right->first;
        }
    };
    using node_set = absl::btree_set<const job_node*, by_id>;

    /// Key of a job in an index that is ordered by time.
    struct timed_node {
        bool is_ordinary; ///< false sorts urgent jobs first; the same for all jobs where urgency is ignored
        std::int64_t at_ms;
        const job_node* node;

        friend bool operator<(const timed_node& left, const timed_node& right) {
            return std::tie(left.is_ordinary, left.at_ms, left.node->first) <
                   std::tie(right.is_ordinary, right.at_ms, right.node->first);
        }
    };

    /// The assigned and running jobs of one worker.
    struct worker_jobs {
        job_claims claims;
        node_set jobs;
    };

    job_node* find_node(const std::string& id);
    /// Returns all jobs, ordered by id.
    [[nodiscard]] std::vector<const job_node*> get_sorted() const;
    /// Removes the job from every index before a change. `record` is the decoded record of the node.
    void remove_from_indexes(const job_node& node, const wire::job& record);
    /// Adds the job to every index that its state requires, after a change.
    void add_to_indexes(const job_node& node, const wire::job& record);
    void add_to_worker_jobs(const job_node& node, const wire::job& record);
    void remove_from_worker_jobs(const job_node& node, const wire::job& record);
    /// Completes a change that began with `remove_from_indexes`: writes the record and updates the indexes.
    void store(job_node& node, wire::job& record, log_index index);
    void finish(wire::job& record, wire::job_state state, std::int64_t at_ms, const std::string& reason);
    void requeue(wire::job& record);
    /// Records that the worker of a lost job has crashed.
    void record_crash(job_node& node, wire::job& record, const wire::job_event& event);
    void apply_event(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_failed(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_lease_expired(wire::job& record, const wire::job_event& event);

    state_rules m_rules;
    std::size_t m_max_jobs;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;                                            ///< total size of all records
    absl::node_hash_map<std::string, packed_job> m_jobs;                ///< by id
    absl::btree_map<std::string, absl::btree_set<timed_node>> m_queued; ///< by tenant, by time of submission
    std::size_t m_queued_count = 0;
    absl::flat_hash_map<std::string, worker_jobs> m_by_worker;
    node_set m_lost;
    absl::btree_set<timed_node> m_ended; ///< by end time
    absl::flat_hash_map<std::string, tenant_usage> m_usage;
    std::size_t m_active_count = 0;
};

/// Returns true if a job leaves `state` only through an operator. Thread safety: any thread.
[[nodiscard]] bool is_ended(wire::job_state state);
/// Returns true if `state` is assigned or running. Thread safety: any thread.
[[nodiscard]] bool is_active(wire::job_state state);

} // namespace poplarpitch
