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

/// The workers that this entry owns: ledgers, routing tables, what runs where. Pure: events and time in,
/// changes and answers out. Requests are started only here, against the ledger of their worker. Thread
/// safety: none, as for all methods; `entry_state` guards it.
class owned_fleet {
public:
    explicit owned_fleet(std::string entry_id);

    /// Takes a configuration. Precondition: not null.
    void set_configuration(std::shared_ptr<const configuration> settings);
    /// Takes the complete list of owned workers; those that are gone go with their ledgers.
    void set_owned(const std::vector<wire::worker>& owned, time_point now);
    /// Returns the worker called `id`, or null.
    [[nodiscard]] owned_worker* find(const std::string& id);
    [[nodiscard]] const std::map<std::string, owned_worker>& get_workers() const { return m_workers; }
    [[nodiscard]] std::map<std::string, owned_worker>& get_workers() { return m_workers; }

    /// Takes what a worker says of itself; opens its ledger when the list is complete under the present
    /// epoch. Precondition: it is owned here.
    void take_announcement(const announcement& message, time_point now);

    /// Picks the best worker for a request and takes a slot on it.
    std::optional<request_grant> start_request(const std::string& service, const std::string& tenant,
                                               const std::string& request_id, time_point now);
    /// Takes the end of an attempt; `latency` counts when it was answered.
    void end_request(const request_grant& grant, attempt_result ended, duration latency, time_point now);
    /// Puts a task into the worker's ledger. Returns false when it does not fit.
    bool start_task(owned_worker& worker, owned_task& task);
    /// Notes a task that runs already.
    void adopt_task(owned_worker& worker, owned_task& task);
    /// Takes a task out of the ledger.
    void end_task(owned_worker& worker, owned_task& task);

    /// Lets time pass: peaks and health fade, routing factors follow the tasks.
    void tick(time_point now);
    /// Brings the routing rows of a worker up to date after a change from outside.
    void refresh(owned_worker& worker, time_point now);

    /// Returns how many requests of `service` could start now, and how many slots there are.
    [[nodiscard]] std::int64_t get_free_slots(const std::string& service) const;
    [[nodiscard]] std::int64_t get_total_slots(const std::string& service) const;
    /// Returns true when there is any slot for `service`, free or not.
    [[nodiscard]] bool has_slots(const std::string& service) const;
    /// Returns the batch tasks that run on a worker, for the interference model.
    [[nodiscard]] std::vector<co_runner> get_co_runners(const owned_worker& worker);
    [[nodiscard]] fleet_models& get_models() { return m_models; }

private:
    struct service_table {
        std::vector<routing_candidate> candidates; ///< the hot table
        std::vector<std::string> workers;          ///< by row
        resources need{1, 0, 0, 0};
    };

    void rebuild_tables(time_point now);
    /// Returns the table of a service that some worker announced, or null.
    [[nodiscard]] const service_table* find_table(const std::string& service) const;
    /// Brings free slots up to date after a change of one worker's ledger: cheap, on every request.
    void refresh_counts(owned_worker& worker, time_point now);
    /// Brings expected times up to date after a change of its tasks.
    void refresh_factors(owned_worker& worker);
    void release_ended_requests(owned_worker& worker, const announcement& message);
    void update_models(owned_worker& worker, const request_grant& grant, duration latency);
    grant_id make_grant_id() { return ++m_last_grant; }

    std::string m_entry_id;
    std::shared_ptr<const configuration> m_settings;
    std::map<std::string, owned_worker> m_workers;
    std::vector<service_table> m_tables; ///< by the service's number
    fleet_models m_models;
    best_fit_router m_router;
    routing_random m_random;
    grant_id m_last_grant = 0;
};

} // namespace poplarpitch
