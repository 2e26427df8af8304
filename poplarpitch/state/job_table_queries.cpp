// Queries of the job table: records in order, and their claims.
#include "poplarpitch/state/job_table.h"

#include <algorithm>

namespace poplarpitch {

std::optional<wire::job> job_table::find(const std::string& id) const {
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? std::nullopt : std::optional(found->second.unpack());
}

std::vector<const job_table::job_node*> job_table::get_sorted() const {
    std::vector<const job_node*> sorted;
    sorted.reserve(m_jobs.size());
    for (const auto& node : m_jobs) {
        sorted.push_back(&node);
    }
    std::sort(sorted.begin(), sorted.end(), by_id{});
    return sorted;
}

void job_table::for_each(const std::function<void(const wire::job&)>& visit) const {
    for (const auto* node : get_sorted()) {
        visit(node->second.unpack());
    }
}

void job_table::for_each_packed(const std::function<void(std::string_view)>& visit) const {
    for (const auto* node : get_sorted()) {
        visit(node->second.get_bytes());
    }
}

std::vector<std::string> job_table::get_queued_tenants() const {
    std::vector<std::string> tenants;
    for (const auto& [tenant, queue] : m_queued) {
        tenants.push_back(tenant);
    }
    return tenants;
}

std::vector<const packed_job*> job_table::get_queued(const std::string& tenant, std::size_t limit) const {
    std::vector<const packed_job*> jobs;
    const auto found = m_queued.find(tenant);
    if (found == m_queued.end()) {
        return jobs;
    }
    jobs.reserve(std::min(limit, found->second.size()));
    for (const auto& place : found->second) {
        if (jobs.size() == limit) {
            break;
        }
        jobs.push_back(&place.node->second);
    }
    return jobs;
}

void job_table::for_each_active_on(const std::string& worker, log_index since,
                                   const std::function<void(const wire::job&)>& visit) const {
    const auto found = m_by_worker.find(worker);
    if (found == m_by_worker.end()) {
        return;
    }
    for (const auto* node : found->second.jobs) {
        if (node->second.get_changed_index() > since) {
            visit(node->second.unpack());
        }
    }
}

void job_table::for_each_active_id_on(const std::string& worker,
                                      const std::function<void(const std::string&)>& visit) const {
    const auto found = m_by_worker.find(worker);
    if (found == m_by_worker.end()) {
        return;
    }
    for (const auto* node : found->second.jobs) {
        visit(node->first);
    }
}

const job_claims* job_table::find_claims(const std::string& worker) const {
    const auto found = m_by_worker.find(worker);
    return found == m_by_worker.end() ? nullptr : &found->second.claims;
}

void job_table::for_each_lost(const std::function<void(const wire::job&)>& visit) const {
    for (const auto* node : m_lost) {
        visit(node->second.unpack());
    }
}

tenant_usage job_table::get_usage(const std::string& tenant) const {
    const auto found = m_usage.find(tenant);
    return found == m_usage.end() ? tenant_usage{} : found->second;
}

} // namespace poplarpitch
