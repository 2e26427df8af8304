#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/entry/call_info.h"
#include "poplarpitch/entry/forward_router.h"
#include "poplarpitch/entry/owned_fleet.h"
#include "poplarpitch/entry/refusal.h"
#include "poplarpitch/entry/request_grant.h"
#include "poplarpitch/policy/admission_queue.h"
#include "poplarpitch/policy/concurrency_limit.h"
#include "poplarpitch/policy/dependency_graph.h"
#include "poplarpitch/policy/latency_model.h"
#include "poplarpitch/policy/retry_budget.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarpitch {

/// The decision to forward the request to another entry.
struct forward_decision {
    std::string entry;
    std::string address;
    friend auto operator<=>(const forward_decision&, const forward_decision&) = default;
};

/// The decision to queue the request until a slot is free.
struct wait_decision {
    admission_ticket ticket;
    time_point give_up_at{}; ///< from then on it can no longer finish before its deadline
    friend auto operator<=>(const wait_decision&, const wait_decision&) = default;
};

/// The decision about a request that arrives.
using admission_decision = std::variant<request_grant, forward_decision, wait_decision, refusal>;

/// A waiting request that got a slot.
struct served_ticket {
    std::uint64_t ticket = 0;
    request_grant grant;
    friend auto operator<=>(const served_ticket&, const served_ticket&) = default;
};

/// Decides for each request: a slot on an owned worker, another entry, the queue, or a refusal with the time
/// after which to retry. A refused request has certainly not run. It reads no clock and never blocks: the
/// time is passed in, and threads wait elsewhere. Thread safety: none, for all methods; `entry_state` guards
/// it.
class request_dispatcher {
public:
    /// Precondition: `fleet` outlives the dispatcher.
    request_dispatcher(owned_fleet& fleet, std::uint32_t seed);

    /// Applies a configuration. Precondition: `settings` is not null.
    void set_configuration(std::shared_ptr<const configuration> settings);
    /// Replaces the list of other entries with what they advertise now.
    void set_entries(std::vector<remote_entry> entries);

    /// Decides about a request that arrives.
    admission_decision admit(const call_info& call, time_point now);
    /// Grants free slots to waiting requests, in the order of their queues. Returns the requests that got
    /// one.
    std::vector<served_ticket> grant_waiting(time_point now);
    /// Removes a waiting request because its caller gave up or it can no longer finish in time.
    void cancel_wait(const std::string& service, const admission_ticket& ticket);
    /// Called when an attempt with a grant has ended.
    void finish(const request_grant& grant, attempt_result ended, duration latency, time_point now);
    /// Called when a forwarded request has ended.
    void finish_forwarded(const call_info& call);

    /// Takes one retry from the service's budget. Returns false when the budget is exhausted.
    bool try_retry(const std::string& service);
    /// Acquires a slot for the second copy of a request. Returns nothing when the retry budget is exhausted,
    /// another request is waiting, or no worker other than `first_worker` was picked.
    std::optional<request_grant> try_hedge(const call_info& call, const std::string& first_worker,
                                           time_point now);
    /// Returns the number of requests that wait for a slot here.
    [[nodiscard]] std::size_t get_waiting_count() const;
    /// Returns the slots and latencies that this entry advertises to other entries.
    [[nodiscard]] wire::entry_digest make_digest() const;
    /// Returns the median latency of a service; zero for an unknown one.
    [[nodiscard]] duration get_median(const std::string& service) const;

private:
    struct service_state {
        service_settings settings;
        admission_queue queue;
        concurrency_limit limit;
        latency_model latency;
        retry_budget retries;
        int running = 0;
    };

    /// Returns true when this or another entry has a target for `service`.
    [[nodiscard]] bool can_serve(const std::string& service) const;
    std::optional<refusal> check_limits(const call_info& call, service_state& state);
    admission_decision admit_locally(const call_info& call, service_state& state, time_point now);
    [[nodiscard]] refusal make_retryable_refusal(const service_state& state, const std::string& code,
                                                 const std::string& text) const;
    [[nodiscard]] duration estimate_wait(const service_state& state, time_point deadline) const;
    std::optional<request_grant> start(service_state& state, const std::string& tenant,
                                       const std::string& request_id, time_point now);

    owned_fleet& m_fleet;
    forward_router m_forward_router;
    std::shared_ptr<const configuration> m_settings;
    std::unique_ptr<dependency_graph> m_dependencies;
    std::map<std::string, service_state> m_services;
    std::map<std::string, std::int64_t> m_tenant_requests; ///< running, waiting and forwarded requests
    std::map<std::uint64_t, std::string> m_waiting_ids;    ///< request id of each ticket
    std::uint64_t m_last_ticket = 0;
};

} // namespace poplarpitch
