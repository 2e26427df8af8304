#include "poplarpitch/entry/request_dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration min_retry_after = milliseconds{200};
constexpr duration max_retry_after = seconds{10};
constexpr std::uint64_t hedge_samples = 100; // fewer samples give no meaningful 95th percentile
constexpr std::uint64_t estimate_samples = 20;

} // namespace

request_dispatcher::request_dispatcher(owned_fleet& fleet, std::uint32_t seed)
    : m_fleet(fleet), m_forward_router(seed), m_settings(std::make_shared<const configuration>()),
      m_dependencies(std::make_unique<dependency_graph>(*m_settings)) {}

void request_dispatcher::set_configuration(std::shared_ptr<const configuration> settings) {
    m_settings = std::move(settings);
    m_dependencies = std::make_unique<dependency_graph>(*m_settings);
    for (const auto& service : m_settings->services) {
        auto& state = m_services[service.name]; // keeps the learned state of a known service
        state.settings = service;
        state.limit.set_maximum(static_cast<double>(service.max_in_flight));
        for (const auto& tenant : m_settings->tenants) {
            state.queue.set_weight(tenant.name, tenant.weight);
        }
    }
}

void request_dispatcher::set_entries(std::vector<remote_entry> entries) {
    m_forward_router.set_entries(std::move(entries));
}

bool request_dispatcher::can_serve(const std::string& service) const {
    // Reads the current state of the owned workers, because the state at the last renewal may be half a
    // second old.
    return m_fleet.has_slots(service) || m_forward_router.has_slots(service);
}

// ---- admission

admission_decision request_dispatcher::admit(const call_info& call, time_point now) {
    const auto found = m_services.find(call.service);
    if (found == m_services.end() || m_settings->find_service(call.service) == nullptr) {
        return refusal{404, "unknown_service", absl::StrCat("no service is called '", call.service, "'"), {}};
    }
    auto& state = found->second;
    if (call.deadline <= now) {
        return refusal{503, "deadline_passed", "the deadline has passed", {}};
    }
    if (auto refused = check_limits(call, state)) {
        return *refused;
    }
    state.retries.add_attempt();
    auto decision = admit_locally(call, state, now);
    if (!std::holds_alternative<refusal>(decision)) {
        ++m_tenant_requests[call.tenant];
    }
    return decision;
}

std::optional<refusal> request_dispatcher::check_limits(const call_info& call, service_state& state) {
    const auto* tenant = m_settings->find_tenant(call.tenant);
    const auto limit = tenant == nullptr ? tenant_settings{}.max_in_flight : tenant->max_in_flight;
    if (m_tenant_requests[call.tenant] >= limit) {
        return refusal{429, "tenant_limit",
                       absl::StrCat("tenant '", call.tenant, "' has ", limit, " requests here"),
                       min_retry_after};
    }
    const auto missing = m_dependencies->find_unavailable(
        call.service, [this](const std::string& need) { return can_serve(need); });
    if (!missing.empty()) {
        return make_retryable_refusal(state, "dependency_down",
                                      absl::StrCat("service '", missing, "', which it needs, is down"));
    }
    return std::nullopt;
}

admission_decision request_dispatcher::admit_locally(const call_info& call, service_state& state,
                                                     time_point now) {
    // 1. A free slot on an owned worker, unless other requests are already waiting for one.
    const bool is_below_limit = state.running < static_cast<int>(state.limit.get_limit());
    if (state.queue.get_size() == 0 && is_below_limit) {
        if (auto grant = start(state, call.tenant, call.request_id, now)) {
            return std::move(*grant);
        }
    }
    // 2. A free slot at another entry. A request is forwarded only once, which prevents forwarding loops.
    if (!call.is_forwarded) {
        if (const auto entry = m_forward_router.pick(call.service, true)) {
            return forward_decision{entry->id, entry->address};
        }
    }
    // 3. The queue, if the request can still finish before its deadline.
    const auto slots = m_fleet.get_total_slots(call.service);
    if (slots == 0) {
        const auto entry = call.is_forwarded ? std::nullopt : m_forward_router.pick(call.service, false);
        if (entry.has_value()) {
            return forward_decision{entry->id, entry->address};
        }
        return make_retryable_refusal(state, "no_target",
                                      absl::StrCat("no target serves '", call.service, "' at present"));
    }
    if (static_cast<std::int64_t>(state.queue.get_size()) >= state.settings.max_queue) {
        return make_retryable_refusal(state, "queue_full", "too many requests wait already");
    }
    const auto expected_end = now + estimate_wait(state, call.deadline) + state.latency.get_p99();
    if (expected_end > call.deadline) {
        return make_retryable_refusal(state, "too_late", "it could not end before its deadline");
    }
    const admission_ticket ticket{++m_last_ticket, call.tenant, call.deadline};
    state.queue.push(ticket);
    m_waiting_ids[ticket.id] = call.request_id;
    return wait_decision{ticket, call.deadline - state.latency.get_p99()};
}

duration request_dispatcher::estimate_wait(const service_state& state, time_point deadline) const {
    if (state.latency.get_count() < estimate_samples) {
        return {};
    }
    const auto slots = std::max<std::int64_t>(m_fleet.get_total_slots(state.settings.name), 1);
    const auto ahead = static_cast<std::int64_t>(state.queue.count_before(deadline)) + 1;
    return state.latency.get_median() * ahead / slots;
}

refusal request_dispatcher::make_retryable_refusal(const service_state& state, const std::string& code,
                                                   const std::string& text) const {
    // Suggests a retry when the current backlog should have been processed.
    const auto slots = std::max<std::int64_t>(m_fleet.get_total_slots(state.settings.name), 1);
    const auto backlog = static_cast<std::int64_t>(state.queue.get_size()) + 1;
    const auto backlog_time = state.latency.get_median() * backlog / slots;
    return {503, code, text, std::clamp<duration>(backlog_time, min_retry_after, max_retry_after)};
}

std::optional<request_grant> request_dispatcher::start(service_state& state, const std::string& tenant,
                                                       const std::string& request_id, time_point now) {
    auto grant = m_fleet.start_request(state.settings.name, tenant, request_id, now);
    if (grant.has_value()) {
        grant->in_flight = state.running;
        if (state.settings.hedge && state.latency.get_count() >= hedge_samples) {
            grant->hedge_after = state.latency.get_p95();
        }
        ++state.running;
        state.queue.on_started(tenant);
    }
    return grant;
}

// ---- queue

std::vector<served_ticket> request_dispatcher::grant_waiting(time_point now) {
    std::vector<served_ticket> served;
    while (true) {
        // Services share workers, so the request with the earliest deadline over all queues goes first.
        service_state* next = nullptr;
        admission_ticket ticket;
        for (auto& [name, state] : m_services) {
            if (state.queue.get_size() == 0 || state.running >= static_cast<int>(state.limit.get_limit()) ||
                m_fleet.get_free_slots(name) <= 0) {
                continue;
            }
            const auto head = state.queue.peek();
            if (head.has_value() && (next == nullptr || head->deadline < ticket.deadline)) {
                next = &state;
                ticket = *head;
            }
        }
        if (next == nullptr) {
            return served;
        }
        auto grant = start(*next, ticket.tenant, m_waiting_ids[ticket.id], now);
        if (!grant.has_value()) {
            return served;
        }
        next->queue.remove(ticket);
        m_waiting_ids.erase(ticket.id);
        served.push_back({ticket.id, std::move(*grant)});
    }
}

void request_dispatcher::cancel_wait(const std::string& service, const admission_ticket& ticket) {
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.queue.remove(ticket)) {
        m_waiting_ids.erase(ticket.id);
        --m_tenant_requests[ticket.tenant];
    }
}

void request_dispatcher::finish(const request_grant& grant, attempt_result ended, duration latency,
                                time_point now) {
    m_fleet.end_request(grant, ended, latency, now);
    --m_tenant_requests[grant.tenant];
    const auto found = m_services.find(grant.service);
    if (found == m_services.end()) {
        return;
    }
    auto& state = found->second;
    --state.running;
    state.queue.on_ended(grant.tenant);
    if (ended == attempt_result::answered) {
        state.latency.add(latency);
        state.limit.on_finished(latency, grant.in_flight);
    } else if (ended == attempt_result::maybe_running) {
        state.limit.on_timeout();
    }
}

void request_dispatcher::finish_forwarded(const call_info& call) {
    --m_tenant_requests[call.tenant];
}

// ---- retries and reports

bool request_dispatcher::try_retry(const std::string& service) {
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.retries.try_take();
}

std::optional<request_grant> request_dispatcher::try_hedge(const call_info& call,
                                                           const std::string& first_worker, time_point now) {
    const auto found = m_services.find(call.service);
    if (found == m_services.end() || found->second.queue.get_size() > 0 ||
        !found->second.retries.try_take()) {
        return std::nullopt;
    }
    auto grant = start(found->second, call.tenant, call.request_id, now);
    if (!grant.has_value()) {
        return std::nullopt;
    }
    ++m_tenant_requests[call.tenant];
    if (grant->worker == first_worker) {
        // The same worker would be as slow as before, and its list of requests cannot distinguish the two
        // copies.
        finish(*grant, attempt_result::refused, {}, now);
        return std::nullopt;
    }
    return grant;
}

std::size_t request_dispatcher::get_waiting_count() const {
    return m_waiting_ids.size();
}

duration request_dispatcher::get_median(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? duration{} : found->second.latency.get_median();
}

wire::entry_digest request_dispatcher::make_digest() const {
    wire::entry_digest digest;
    for (const auto& [name, state] : m_services) {
        auto& headroom = *digest.add_services();
        headroom.set_service(name);
        const auto waiting = static_cast<std::int64_t>(state.queue.get_size());
        headroom.set_free(std::max<std::int64_t>(m_fleet.get_free_slots(name) - waiting, 0));
        headroom.set_total(m_fleet.get_total_slots(name));
        headroom.set_latency_ms(to_seconds(state.latency.get_median()) * 1000);
    }
    return digest;
}

} // namespace poplarpitch
