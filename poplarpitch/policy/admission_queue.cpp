#include "poplarpitch/policy/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace poplarpitch {

void admission_queue::set_weight(const std::string& tenant, double weight) {
    assert(weight > 0);
    m_tenants[tenant].weight = weight;
}

void admission_queue::push(const admission_ticket& ticket) {
    m_tenants[ticket.tenant].waiting.emplace(order_key{ticket.deadline, ticket.id}, ticket);
    ++m_size;
}

bool admission_queue::remove(const admission_ticket& ticket) {
    const auto found = m_tenants.find(ticket.tenant);
    if (found == m_tenants.end() || found->second.waiting.erase({ticket.deadline, ticket.id}) == 0) {
        return false;
    }
    --m_size;
    return true;
}

bool admission_queue::is_over_share(const tenant_queue& queue, double running_total,
                                    double weight_total) const {
    const double share = weight_total > 0 ? running_total * queue.weight / weight_total : 0;
    return static_cast<double>(queue.running) > share;
}

std::optional<admission_ticket> admission_queue::peek() const {
    double running_total = 0;
    double weight_total = 0;
    for (const auto& [name, queue] : m_tenants) {
        if (queue.running > 0 || !queue.waiting.empty()) {
            running_total += static_cast<double>(queue.running);
            weight_total += queue.weight;
        }
    }
    const admission_ticket* best = nullptr;
    bool is_best_over_share = true;
    for (const auto& [name, queue] : m_tenants) {
        if (queue.waiting.empty()) {
            continue;
        }
        const auto& candidate = queue.waiting.begin()->second;
        const bool is_candidate_over_share = is_over_share(queue, running_total, weight_total);
        const bool is_earlier = best == nullptr || std::pair(candidate.deadline, candidate.id) <
                                                       std::pair(best->deadline, best->id);
        if (best == nullptr || (is_best_over_share && !is_candidate_over_share) ||
            (is_best_over_share == is_candidate_over_share && is_earlier)) {
            best = &candidate;
            is_best_over_share = is_candidate_over_share;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::size_t admission_queue::count_before(time_point deadline) const {
    std::size_t count = 0;
    for (const auto& [name, queue] : m_tenants) {
        // The entries are walked only where the deadline falls inside a queue, since the walk is linear.
        if (queue.waiting.empty() || queue.waiting.begin()->first.first > deadline) {
            continue;
        }
        if (queue.waiting.rbegin()->first.first <= deadline) {
            count += queue.waiting.size();
        } else {
            const auto end = queue.waiting.upper_bound({deadline, ~0ULL});
            count += static_cast<std::size_t>(std::distance(queue.waiting.begin(), end));
        }
    }
    return count;
}

void admission_queue::on_started(const std::string& tenant) {
    ++m_tenants[tenant].running;
}

void admission_queue::on_ended(const std::string& tenant) {
    auto& running = m_tenants[tenant].running;
    assert(running > 0);
    --running;
}

std::int64_t admission_queue::get_running(const std::string& tenant) const {
    const auto found = m_tenants.find(tenant);
    return found == m_tenants.end() ? 0 : found->second.running;
}

} // namespace poplarpitch
