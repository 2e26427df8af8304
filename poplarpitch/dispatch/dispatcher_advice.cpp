// Placement for queues whose policy restricts which workers may run a step. The advice service, an external
// service, decides which workers may run a step and issues a ticket for each of them.
#include "poplarpitch/dispatch/dispatcher.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t max_workers_per_advice_call = 30; // each worker makes the call longer
constexpr std::size_t spare_workers_per_advice_call =
    4;                                              // in addition to one per task, since some will be denied
constexpr duration retry_pause = milliseconds{200}; // after a call that got no answer
constexpr duration answer_slack = seconds{1};       // added to the time that the queue's policy allows
constexpr duration ticket_margin =
    milliseconds{400}; // covers the commit and the start before the worker checks the ticket

} // namespace

std::string dispatcher::find_ticket(const step_key& step, const worker_incarnation& worker,
                                    time_point now) const {
    const auto found = m_advice.find(step);
    return found == m_advice.end() ? std::string{} : found->second.find_ticket(worker, now + ticket_margin);
}

/// Only one call is in flight at a time. The service processes the calls of an instance one after another,
/// and the next call depends on the answer.
void dispatcher::request_advice(const std::vector<std::pair<std::int64_t, step_key>>& ranked,
                                time_point now) {
    if (m_is_advice_pending || now < m_next_advice) {
        return;
    }
    for (const auto& [rank, key] : ranked) {
        const auto found = m_ready.find(key);
        if (found == m_ready.end() || found->second.waiting.empty() ||
            !found->second.job->queue.advice.has_value()) {
            continue;
        }
        auto workers = pick_workers_to_ask_about(found->second, key, now);
        if (workers.empty()) {
            continue;
        }
        const auto& policy = *found->second.job->queue.advice;
        advice_request order;
        order.fence = m_term;
        order.number = ++m_advice_number;
        order.step = key;
        order.timeout = policy.base_time +
                        policy.time_per_worker * static_cast<std::int64_t>(workers.size()) + answer_slack;
        order.workers = std::move(workers);
        m_is_advice_pending = true;
        m_advice_expires = now + order.timeout;
        m_orders.emplace_back(std::move(order));
        return;
    }
}

std::vector<worker_incarnation> dispatcher::pick_workers_to_ask_about(const ready_step& ready,
                                                                      const step_key& key, time_point now) {
    const auto request = make_request(ready, {key, *ready.waiting.begin()}, now);
    std::vector<std::pair<double, worker_incarnation>> found;
    for (const auto* worker : m_workers.get_all()) {
        const auto& incarnation = worker->report.incarnation;
        const bool is_candidate = worker->report.pool == ready.job->queue.pool && is_usable(*worker, now) &&
                                  !m_advice[key].is_denied(incarnation) &&
                                  find_ticket(key, incarnation, now).empty();
        const auto cost = is_candidate ? get_placement_cost(*worker, request) : std::nullopt;
        if (cost.has_value()) {
            found.emplace_back(*cost, incarnation);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<worker_incarnation> workers;
    for (const auto& [cost, incarnation] : found) {
        if (workers.size() <
            std::min(max_workers_per_advice_call, ready.waiting.size() + spare_workers_per_advice_call)) {
            workers.push_back(incarnation);
        }
    }
    return workers;
}

void dispatcher::on_advice(const advice_request& request, const advice_outcome& outcome, time_point now) {
    if (!is_leading() || request.number != m_advice_number || !m_is_advice_pending) {
        return; // the call was given up; its tickets may be older than they seem
    }
    m_is_advice_pending = false;
    if (!outcome.is_answered) {
        m_next_advice = now + retry_pause;
        log_event(log_level::warn, "advice_missing").add("job", format_job_id(request.step.job));
        return;
    }
    const auto* record = m_job_state.find_job(request.step.job);
    if (record == nullptr || !record->job->queue.advice.has_value()) {
        return;
    }
    auto& advice = m_advice[request.step];
    // The validity counts from the start of the call, since the service may have decided then. The start
    // is not recorded, so the call is assumed to have taken the full time that the queue's policy allows.
    const auto expires = now + record->job->queue.advice->ticket_validity - request.timeout + answer_slack;
    for (const auto& worker : request.workers) {
        const auto found = std::find_if(outcome.allowed.begin(), outcome.allowed.end(),
                                        [&](const advice_ticket& item) { return item.worker == worker.id; });
        if (found == outcome.allowed.end()) {
            advice.deny(worker);
        } else {
            advice.allow(worker, found->ticket, expires);
        }
    }
    log_event(log_level::info, "advice_received")
        .add("job", format_job_id(request.step.job))
        .add("step", static_cast<std::uint64_t>(request.step.step))
        .add("asked", static_cast<std::uint64_t>(request.workers.size()))
        .add("allowed", static_cast<std::uint64_t>(outcome.allowed.size()));
    m_must_place = true;
}

} // namespace poplarpitch
