#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/entry/announcement.h"
#include "poplarpitch/entry/fleet_models.h"
#include "poplarpitch/entry/owned_worker.h"
#include "poplarpitch/entry/request_grant.h"
#include "poplarpitch/policy/best_fit_router.h"
#include "poplarpitch/policy/routing_candidate.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// The workers that this entry owns, with their ledgers, routing tables, requests and tasks. It does no I/O
/// and reads no clock: events and the time are passed in. Requests are started only here and are charged to
/// the ledger of their worker. Thread safety: none, for all methods; `entry_state` guards it.
class owned_fleet {
public:
    explicit owned_fleet(std::string entry_id);

    /// Applies a configuration. Precondition: `settings` is not null.
    void set_configuration(std::shared_ptr<const configuration> settings);
    /// Sets the complete list of owned workers. Workers that are not in it are removed together with their
    /// ledgers.
    void set_owned_workers(const std::vector<wire::worker>& owned, time_point now);
    /// Returns the worker called `id`, or null.
    [[nodiscard]] owned_worker* find(const std::string& id);
    /// Returns the owned workers by id.
    [[nodiscard]] const std::map<std::string, owned_worker>& get_workers() const { return m_workers; }
    [[nodiscard]] std::map<std::string, owned_worker>& get_workers() { return m_workers; }

    /// Processes a worker's announcement. Opens its ledger when the announcement is complete under the
    /// current epoch. Precondition: the worker is owned here.
    void apply_announcement(const announcement& message, time_point now);

    /// Picks the best worker for a request and acquires a slot on it. Returns nothing when no worker can take
    /// it.
    std::optional<request_grant> start_request(const std::string& service, const std::string& tenant,
                                               const std::string& request_id, time_point now);
    /// Called when an attempt has ended. `latency` is used only when it was answered.
    void end_request(const request_grant& grant, attempt_result ended, duration latency, time_point now);
    /// Reserves a task's resources in the worker's ledger. Returns false when they do not fit or the worker
    /// is not usable.
    bool start_task(owned_worker& worker, owned_task& task);
    /// Adds a task that may already be running to the worker's ledger, whether it fits or not.
    void adopt_task(owned_worker& worker, owned_task& task);
    /// Releases a task's resources in the worker's ledger.
    void end_task(owned_worker& worker, owned_task& task);

    /// Called periodically: decays the peaks and slowdowns, and updates health and routing factors.
    void tick(time_point now);
    /// Updates the routing rows of a worker after a change made outside this class.
    void refresh(owned_worker& worker, time_point now);

    /// Returns how many requests of `service` could start now, or how many slots its usable workers have in
    /// total.
    [[nodiscard]] std::int64_t get_free_slots(const std::string& service) const;
    [[nodiscard]] std::int64_t get_total_slots(const std::string& service) const;
    /// Returns true when there is any slot for `service`, free or not.
    [[nodiscard]] bool has_slots(const std::string& service) const;
    /// Returns the batch tasks that run on a worker, for the interference model.
    [[nodiscard]] std::vector<co_runner> get_co_runners(const owned_worker& worker);
    /// Returns the learned models; callers may change them.
    [[nodiscard]] fleet_models& get_models() { return m_models; }

private:
    struct service_table {
        std::vector<routing_candidate> candidates; ///< scanned for each request
        std::vector<std::string> workers;          ///< worker id of each row
        resources need{1, 0, 0, 0};
    };

    void rebuild_tables(time_point now);
    /// Returns the table of a service that some worker announced, or null.
    [[nodiscard]] const service_table* find_table(const std::string& service) const;
    /// Updates the free slots after a change of one worker's ledger. Cheap, because it runs for every
    /// request.
    void refresh_counts(owned_worker& worker, time_point now);
    /// Updates the expected latency factors of a worker after a change of its tasks.
    void refresh_factors(owned_worker& worker);
    void release_ended_requests(owned_worker& worker, const announcement& message);
    void update_models(owned_worker& worker, const request_grant& grant, duration latency);
    grant_id make_grant_id() { return ++m_last_grant; }

    std::string m_entry_id;
    std::shared_ptr<const configuration> m_settings;
    std::map<std::string, owned_worker> m_workers;
    std::vector<service_table> m_tables; ///< by the service's dense index
    fleet_models m_models;
    best_fit_router m_router;
    routing_random m_random;
    grant_id m_last_grant = 0;
};

} // namespace poplarpitch
