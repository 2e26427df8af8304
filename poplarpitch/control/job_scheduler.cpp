#include "poplarpitch/control/job_scheduler.h"

#include "poplarpitch/control/session_registry.h"
#include "poplarpitch/policy/cost_placer.h"
#include "poplarpitch/policy/pick_or_probe.h"
#include "poplarpitch/state/amounts_codec.h"
#include "poplarpitch/state/state_machine.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace poplarpitch {
namespace {

constexpr int max_failed_placements =
    8; // after this many a tenant's queue is skipped for the rest of the run

/// Returns true when the tenant's active jobs and this one together stay within its quota.
bool is_within_quota(const tenant_settings& tenant, const tenant_usage& usage, const resources& need) {
    const bool has_cores =
        tenant.millicores == 0 || usage.active_millicores + need.millicores <= tenant.millicores;
    const bool has_devices =
        tenant.accelerators == 0 || usage.active_accelerators + need.accelerators <= tenant.accelerators;
    return has_cores && has_devices;
}

} // namespace

/// A tenant's queued jobs in one run of the scheduler. Records are unpacked one at a time, because most are
/// never reached.
struct job_scheduler::tenant_queue {
    std::string name;
    tenant_settings settings;
    tenant_usage usage;
    std::vector<const packed_job*> jobs; ///< in order; bounded per run
    std::size_t next = 0;
    std::optional<wire::job> head; ///< the record of `next`; empty at the end of the queue
    int failed_placements = 0;

    [[nodiscard]] bool is_exhausted() const {
        return !head.has_value() || failed_placements >= max_failed_placements;
    }
    [[nodiscard]] bool is_urgent() const { return !is_exhausted() && head->urgent(); }
    [[nodiscard]] double get_weighted_usage() const {
        return static_cast<double>(usage.active_millicores) / settings.weight;
    }

    /// Returns the head and reads the next one. Precondition: the queue is not exhausted.
    wire::job pop_head() {
        auto job = std::move(*head);
        ++next;
        read_head();
        return job;
    }

    void read_head() { head = next < jobs.size() ? std::optional(jobs[next]->unpack()) : std::nullopt; }
};

void job_scheduler::add_usage(const wire::usage_sample& sample) {
    m_usage.add(sample.tenant(), sample.batch(), sample.millicores_ratio(), sample.memory_ratio(),
                sample.run_time_ratio());
}

void job_scheduler::update_interference(const configuration& settings, const session_registry& sessions) {
    m_probes.set_objective(settings.objective);
    for (const auto& batch : settings.batches) {
        m_interference.set_prior(m_batches.get(batch.name), batch.noise);
    }
    // Each entry sees only some of the requests: their estimates are averaged, weighted by the evidence.
    struct weighted_sum {
        double weighted = 0;
        double weight = 0;
    };
    std::map<std::pair<std::uint32_t, std::uint32_t>, weighted_sum> pairs;
    for (const auto& [entry, report] : sessions.get_reports()) {
        for (const auto& sample : report.interference) {
            auto& pair = pairs[{m_services.get(sample.service()), m_batches.get(sample.batch())}];
            pair.weighted += sample.slowdown() * sample.weight();
            pair.weight += sample.weight();
        }
    }
    for (const auto& [key, pair] : pairs) {
        if (pair.weight > 0) {
            m_interference.set_estimate(key.first, key.second, pair.weighted / pair.weight, pair.weight);
        }
    }
}

void job_scheduler::add_to_spread(const std::string& tenant, std::uint32_t rack, std::uint32_t tasks) {
    const auto number = m_tenants.get(tenant);
    if (m_spread.size() <= number) {
        m_spread.resize(number + 1);
    }
    auto& by_rack = m_spread[number];
    if (by_rack.size() <= rack) {
        by_rack.resize(rack + 1);
    }
    by_rack[rack] = static_cast<std::uint16_t>(by_rack[rack] + tasks);
}

void job_scheduler::build_candidates(const state_machine& state, const session_registry& sessions) {
    m_candidates.clear();
    m_candidate_ids.clear();
    m_spread.clear();
    m_unplaceable.clear();
    for (const auto& [id, worker] : state.get_fleet().get_workers()) {
        const auto* load = sessions.find_load(worker.owner(), id);
        placement_candidate candidate;
        candidate.capacity = decode(worker.capacity());
        candidate.free = candidate.capacity;
        candidate.rack = m_racks.get(worker.data_centre() + "/" + worker.rack());
        if (const auto* claims = state.get_jobs().find_claims(id)) {
            candidate.free -= claims->reserved;
            for (const auto& [tenant, tasks] : claims->tasks_by_tenant) {
                add_to_spread(tenant, candidate.rack, tasks);
            }
        }
        candidate.is_open = !worker.owner().empty() && !worker.silent() && !worker.quarantined() &&
                            load != nullptr && load->ready() && !load->leaving() && !load->relieved();
        if (load != nullptr) {
            candidate.free -= decode(load->requests());
            candidate.speed = static_cast<float>(load->speed() > 0 ? load->speed() : 1.0);
            candidate.slowdown = static_cast<float>(load->slowdown() > 0 ? load->slowdown() : 1.0);
            for (const auto& service : worker.services()) {
                const auto rate = load->rates().find(service);
                const auto value = rate == load->rates().end() ? 0.0F : static_cast<float>(rate->second);
                candidate.services.push_back({m_services.get(service), value});
            }
        }
        m_candidates.push_back(std::move(candidate));
        m_candidate_ids.push_back(id);
    }
}

std::vector<job_scheduler::tenant_queue> job_scheduler::make_tenant_queues(const state_machine& state) {
    constexpr std::size_t max_queued_read = 256;
    std::vector<tenant_queue> queues;
    const auto settings = state.get_configs().get_configuration();
    for (const auto& name : state.get_jobs().get_queued_tenants()) {
        tenant_queue queue;
        queue.name = name;
        const auto* tenant = settings->find_tenant(name);
        queue.settings = tenant == nullptr ? tenant_settings{} : *tenant;
        queue.usage = state.get_jobs().get_usage(name);
        queue.jobs = state.get_jobs().get_queued(name, max_queued_read);
        queue.read_head();
        queues.push_back(std::move(queue));
    }
    return queues;
}

placement_request job_scheduler::make_request(const wire::job& job) {
    placement_request request;
    request.need = m_usage.get_reservation(job.tenant(), job.batch(), decode(job.need()));
    request.batch = m_batches.get(job.batch());
    const double ratio = m_usage.get_time_ratio(job.tenant(), job.batch());
    request.run_seconds = static_cast<float>(static_cast<double>(job.run_time_ms()) / 1000 * ratio);
    request.is_urgent = job.urgent();
    return request;
}

void job_scheduler::update_candidates(const wire::job& job) {
    const auto tenant = m_tenants.get(job.tenant());
    const auto* by_rack = tenant < m_spread.size() ? &m_spread[tenant] : nullptr;
    for (auto& candidate : m_candidates) {
        const bool has_tasks = by_rack != nullptr && candidate.rack < by_rack->size();
        candidate.tenant_tasks_in_rack = has_tasks ? (*by_rack)[candidate.rack] : std::uint16_t{0};
        candidate.has_failed_before = false;
    }
    for (const auto& failed : job.failed_workers()) {
        const auto found = std::lower_bound(m_candidate_ids.begin(), m_candidate_ids.end(), failed);
        if (found != m_candidate_ids.end() && *found == failed) {
            m_candidates[static_cast<std::size_t>(found - m_candidate_ids.begin())].has_failed_before = true;
        }
    }
}

bool job_scheduler::is_known_unplaceable(const placement_request& request) const {
    return std::any_of(m_unplaceable.begin(), m_unplaceable.end(), [&](const unplaceable_need& unplaceable) {
        return unplaceable.batch == request.batch && unplaceable.is_urgent == request.is_urgent &&
               request.need.can_fit(unplaceable.need);
    });
}

bool job_scheduler::place(const wire::job& job, const state_machine& state, time_point now,
                          std::vector<wire::command>& commands) {
    const auto request = make_request(job);
    if (is_known_unplaceable(request)) {
        return false;
    }
    update_candidates(job);
    const cost_placer placer(state.get_configs().get_configuration()->objective);
    const auto picked = pick_or_probe(placer, m_candidates, request, m_interference, m_probes, now);
    if (!picked.has_value()) {
        if (job.failed_workers().empty()) { // else other jobs may fit on the workers this one must avoid
            m_unplaceable.push_back({request.need, request.batch, request.is_urgent});
        }
        return false;
    }
    auto& candidate = m_candidates[*picked];
    candidate.free -= request.need;
    add_to_spread(job.tenant(), candidate.rack, 1);
    wire::command command;
    auto& assign = *command.mutable_assign();
    assign.set_job(job.id());
    assign.set_attempt(job.attempt() + 1);
    assign.set_worker(m_candidate_ids[*picked]);
    assign.set_epoch(state.get_fleet().find_worker(assign.worker())->epoch());
    encode(request.need, *assign.mutable_reserved());
    commands.push_back(std::move(command));
    return true;
}

void job_scheduler::evict_for(const wire::job& urgent, const state_machine& state, time_point now,
                              std::vector<wire::command>& commands) {
    if (!m_eviction_budget.has_any(now)) {
        return; // avoids the search below, which reads every running task
    }
    const auto need = make_request(urgent).need;
    std::optional<wire::job> victim;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const auto& candidate = m_candidates[index];
        if (!candidate.is_open || !candidate.capacity.can_fit(need)) {
            continue;
        }
        state.get_jobs().for_each_active_on(m_candidate_ids[index], 0, [&](const wire::job& job) {
            const bool is_ending = job.evict_requested() || job.cancel_requested();
            const bool is_enough = (candidate.free + decode(job.reserved())).can_fit(need);
            if (job.urgent() || is_ending || !is_enough || job.state() != wire::job_running) {
                return;
            }
            // The job that started last loses the least work.
            if (!victim.has_value() || job.started_ms() > victim->started_ms()) {
                victim = job;
            }
        });
    }
    if (!victim.has_value() || !m_eviction_budget.try_take(now)) {
        return;
    }
    wire::command command;
    command.mutable_event()->set_job(victim->id());
    command.mutable_event()->set_attempt(victim->attempt());
    command.mutable_event()->set_kind(wire::event_evict_asked);
    commands.push_back(std::move(command));
}

std::vector<wire::command> job_scheduler::run(const state_machine& state, const session_registry& sessions,
                                              std::size_t limit, time_point now, std::int64_t wall_ms) {
    std::vector<wire::command> commands;
    if (state.get_jobs().get_queued_count() == 0) {
        return commands;
    }
    update_interference(*state.get_configs().get_configuration(), sessions);
    build_candidates(state, sessions);
    auto queues = make_tenant_queues(state);
    while (commands.size() < limit) {
        tenant_queue* best = nullptr;
        for (auto& queue : queues) {
            if (queue.is_exhausted()) {
                continue;
            }
            const bool is_preferred = best == nullptr || (queue.is_urgent() && !best->is_urgent()) ||
                                      (queue.is_urgent() == best->is_urgent() &&
                                       queue.get_weighted_usage() < best->get_weighted_usage());
            if (is_preferred) {
                best = &queue;
            }
        }
        if (best == nullptr) {
            break;
        }
        const auto job = best->pop_head();
        const auto need = decode(job.need());
        if (!state.get_fleet().get_workers().empty() &&
            !state.get_fleet().has_worker_with_capacity_for(need)) {
            wire::command command;
            auto& event = *command.mutable_event();
            event.set_job(job.id());
            event.set_attempt(job.attempt());
            event.set_kind(wire::event_unplaceable);
            event.set_detail("no worker could ever hold it");
            event.set_at_ms(wall_ms);
            commands.push_back(std::move(command));
            continue;
        }
        if (!is_within_quota(best->settings, best->usage, need)) {
            ++best->failed_placements;
            continue;
        }
        if (place(job, state, now, commands)) {
            best->usage.active_millicores += need.millicores;
            best->usage.active_accelerators += need.accelerators;
            continue;
        }
        ++best->failed_placements;
        if (job.urgent()) {
            evict_for(job, state, now, commands);
        }
    }
    return commands;
}

} // namespace poplarpitch
