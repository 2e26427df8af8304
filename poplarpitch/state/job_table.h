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
/// jobs); a cancellation touches one job and no other. Records are kept as bytes and the indexes hold
/// pointers to them, so that 10,000 tasks and a day's ended jobs fit beside the rest of a small instance.
/// Thread safety: none, as for all methods; replicas apply the same calls in the same order.
class job_table {
public:
    /// At most `max_jobs` records of together `max_bytes` bytes are taken in.
    job_table(const state_rules& rules, std::size_t max_jobs, std::size_t max_bytes);
    job_table(const job_table&) = delete; // the indexes point into the table
    job_table& operator=(const job_table&) = delete;
    job_table(job_table&&) = default;
    job_table& operator=(job_table&&) = default;
    ~job_table() = default;

    /// Adds a queued job, or answers for the one that exists with the same content.
    std::error_code submit(const wire::job& submitted, std::int64_t tenant_limit, log_index index);
    /// Gives a queued job to a worker whose process is of `incarnation`.
    std::error_code assign(const wire::assign_job& command, std::uint64_t incarnation, log_index index);
    /// Takes what happened to an attempt.
    std::error_code handle_event(const wire::job_event& event, int max_attempts, log_index index);
    /// Cancels a job: at once when it is queued, else as soon as its worker confirms the stop.
    std::error_code cancel(const wire::cancel_job& command, log_index index);
    /// Ends the doubt about an unknown or parked job, as its operator decides.
    std::error_code resolve(const wire::resolve_job& command, log_index index);
    /// Forgets jobs that ended before `before_ms`.
    void expire(std::int64_t before_ms);

    /// Returns true when there is a job called `id`; cheaper than `find`, which reads its record.
    [[nodiscard]] bool has(const std::string& id) const { return m_jobs.contains(id); }
    /// Returns the job called `id`, or nothing.
    [[nodiscard]] std::optional<wire::job> find(const std::string& id) const;
    /// Calls `visit` for every job, ordered by id.
    void for_each(const std::function<void(const wire::job&)>& visit) const;
    /// Calls `visit` with the bytes of every job's record, ordered by id.
    void for_each_packed(const std::function<void(std::string_view)>& visit) const;
    /// Returns the tenants that have queued jobs, sorted.
    [[nodiscard]] std::vector<std::string> get_queued_tenants() const;
    /// Returns at most `limit` queued jobs of `tenant`, in the order of submission, urgent ones first. Valid
    /// until the next change.
    [[nodiscard]] std::vector<const packed_job*> get_queued(const std::string& tenant,
                                                            std::size_t limit) const;
    /// Calls `visit` for the assigned and running jobs of `worker` that changed after `since`, ordered by id.
    void for_each_on(const std::string& worker, log_index since,
                     const std::function<void(const wire::job&)>& visit) const;
    /// Calls `visit` for the id of every assigned or running job of `worker`, in order.
    void for_each_id_on(const std::string& worker,
                        const std::function<void(const std::string&)>& visit) const;
    /// Returns what the assigned and running jobs of `worker` claim, or null when it has none.
    [[nodiscard]] const job_claims* find_claims(const std::string& worker) const;
    /// Calls `visit` for every lost job.
    void for_each_lost(const std::function<void(const wire::job&)>& visit) const;

    /// Returns what the tenant's open jobs claim.
    [[nodiscard]] tenant_usage get_usage(const std::string& tenant) const;
    [[nodiscard]] std::size_t get_queued_count() const { return m_queued_count; }
    [[nodiscard]] std::size_t get_active_count() const { return m_active_count; }
    [[nodiscard]] std::size_t get_count() const { return m_jobs.size(); }
    /// Returns the bytes of all records.
    [[nodiscard]] std::size_t get_bytes() const { return m_bytes; }

    /// Puts a job of a snapshot in place. Precondition: its id is not here.
    void restore(const wire::job& record);

private:
    /// A job in the table; its place in memory stays the same for its life.
    using job_node = std::pair<const std::string, packed_job>;

    struct by_id {
        bool operator()(const job_node* left, const job_node* right) const {
            return left->first < right->first;
        }
    };
    using node_set = absl::btree_set<const job_node*, by_id>;

    /// Place of a job in an order that time decides first.
    struct timed_node {
        bool is_ordinary; ///< urgent ones first; the same for all where urgency plays no part
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
    /// Takes the job out of every index, before a change. `record` is what the node holds.
    void remove_from_indexes(const job_node& node, const wire::job& record);
    /// Puts the job into every index that its state asks for, after a change.
    void add_to_indexes(const job_node& node, const wire::job& record);
    void add_to_worker_jobs(const job_node& node, const wire::job& record);
    void remove_from_worker_jobs(const job_node& node, const wire::job& record);
    /// Ends a change that began with `remove_from_indexes`: writes the record into the node and links it.
    void store(job_node& node, wire::job& record, log_index index);
    void finish(wire::job& record, wire::job_state state, std::int64_t at_ms, const std::string& reason);
    void requeue(wire::job& record);
    /// Notes of a job that is lost already that its worker has ended since.
    void record_crash(job_node& node, wire::job& record, const wire::job_event& event);
    void apply_event(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_failed(wire::job& record, const wire::job_event& event, int max_attempts);
    void on_lease_expired(wire::job& record, const wire::job_event& event);

    state_rules m_rules;
    std::size_t m_max_jobs;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;                                            ///< of all records
    absl::node_hash_map<std::string, packed_job> m_jobs;                ///< by id
    absl::btree_map<std::string, absl::btree_set<timed_node>> m_queued; ///< by tenant, by time of submission
    std::size_t m_queued_count = 0;
    absl::flat_hash_map<std::string, worker_jobs> m_by_worker;
    node_set m_lost;
    absl::btree_set<timed_node> m_ended; ///< by end time
    absl::flat_hash_map<std::string, tenant_usage> m_usage;
    std::size_t m_active_count = 0;
};

/// Returns true when `state` is one that a job leaves only by an operator. Thread safety: any thread.
[[nodiscard]] bool is_ended(wire::job_state state);
/// Returns true for assigned and running. Thread safety: any thread.
[[nodiscard]] bool is_active(wire::job_state state);

} // namespace poplarpitch
