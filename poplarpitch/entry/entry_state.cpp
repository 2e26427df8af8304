#include "poplarpitch/entry/entry_state.h"

#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/core/hash.h"
#include "poplarpitch/state/amounts_codec.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace poplarpitch {
namespace {

std::vector<remote_entry> read_entries(const wire::renew_answer& answer, const std::string& data_centre) {
    std::vector<remote_entry> entries;
    for (const auto& digest : answer.entries()) {
        remote_entry entry;
        entry.id = digest.entry();
        entry.address = digest.http_address();
        entry.is_same_data_centre = digest.data_centre() == data_centre;
        for (const auto& service : digest.services()) {
            entry.services[service.service()] = {service.free(), service.total()};
        }
        if (!entry.id.empty()) {
            entries.push_back(std::move(entry));
        }
    }
    return entries;
}

const char* get_eligibility_name(worker_eligibility eligibility) {
    switch (eligibility) {
    case worker_eligibility::trusted:
        return "trusted";
    case worker_eligibility::probation:
        return "probation";
    case worker_eligibility::quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace

entry_state::entry_state(const std::string& id, std::string data_centre)
    : m_id(id), m_data_centre(std::move(data_centre)), m_fleet(id),
      m_dispatcher(m_fleet, static_cast<std::uint32_t>(hash_bytes(id))), m_tasks(m_fleet),
      m_settings(std::make_shared<const configuration>()), m_published(m_settings) {}

// ---- control

void entry_state::apply_renewal(const wire::renew_answer& answer, time_point now) {
    m_is_draining = answer.draining();
    const absl::MutexLock lock(&m_mutex);
    // The configuration version never decreases here, even if an old answer carries an older one.
    if (answer.has_config() && answer.config().version() > m_config_version) {
        m_config_version = answer.config().version();
        m_settings = std::make_shared<const configuration>(parse_configuration(answer.config().text()).value);
        m_fleet.set_configuration(m_settings);
        m_dispatcher.set_configuration(m_settings);
        const absl::MutexLock publish(&m_settings_mutex);
        m_published = m_settings;
    }
    if (answer.owned_changed()) {
        m_fleet.set_owned_workers({answer.owned().begin(), answer.owned().end()}, now);
    }
    m_load_reporter.set_term(answer.term());
    m_tasks.apply_jobs(answer, now);
    m_dispatcher.set_entries(read_entries(answer, m_data_centre));
    m_revision = answer.revision();
    grant_waiting(now);
}

std::shared_ptr<const configuration> entry_state::get_configuration() const {
    const absl::ReaderMutexLock lock(&m_settings_mutex);
    return m_published;
}

std::uint64_t entry_state::get_config_version() const {
    const absl::MutexLock lock(&m_mutex);
    return m_config_version;
}

void entry_state::fill_renewal(wire::renew_request& request) {
    const absl::MutexLock lock(&m_mutex);
    const auto now = m_clock.now();
    const double elapsed =
        m_last_report == time_point{} ? 1.0 : std::max(to_seconds(now - m_last_report), 0.05);
    m_last_report = now;
    request.set_known_config(m_config_version);
    request.set_known_revision(m_revision);
    *request.mutable_digest() = m_dispatcher.make_digest();
    auto& models = m_fleet.get_models();
    for (auto& [id, worker] : m_fleet.get_workers()) {
        wire::worker_load load;
        load.set_worker(id);
        encode(worker.ledger.get_free(), *load.mutable_free());
        encode(worker.request_peak, *load.mutable_requests());
        load.set_slowdown(worker.slowdown);
        load.set_speed(models.speed.get_factor(worker.number));
        load.set_leaving(worker.is_leaving);
        load.set_ready(worker.is_usable());
        load.set_relieved(worker.relief.get_level() != relief_level::none);
        for (auto& [service, count] : m_request_counts[id]) {
            (*load.mutable_rates())[service] = static_cast<double>(count) / elapsed;
            count = 0;
        }
        if (m_load_reporter.mark_sent_if_due(load, now)) {
            *request.add_loads() = std::move(load);
        }
    }
    for (auto& sample : m_tasks.take_usage()) {
        *request.add_usage() = std::move(sample);
    }
    for (const auto& service : m_settings->services) {
        for (const auto& batch : m_settings->batches) {
            const auto service_number = models.services.get(service.name);
            const auto batch_number = models.batches.get(batch.name);
            const double evidence = models.interference.get_evidence(service_number, batch_number);
            if (evidence >= 1) {
                auto& sample = *request.add_interference();
                sample.set_service(service.name);
                sample.set_batch(batch.name);
                sample.set_slowdown(models.interference.get_coefficient(service_number, batch_number));
                sample.set_weight(evidence);
            }
        }
    }
}

void entry_state::on_renewal_failed(const wire::renew_request& request) {
    const absl::MutexLock lock(&m_mutex);
    for (const auto& load : request.loads()) {
        m_load_reporter.forget(load.worker());
    }
    m_tasks.return_usage({request.usage().begin(), request.usage().end()});
}

// ---- requests

std::variant<request_grant, forward_decision, refusal> entry_state::admit(const call_info& call) {
    const absl::MutexLock lock(&m_mutex);
    auto decision = m_dispatcher.admit(call, m_clock.now());
    if (auto* grant = std::get_if<request_grant>(&decision)) {
        return std::move(*grant);
    }
    if (auto* forward = std::get_if<forward_decision>(&decision)) {
        return std::move(*forward);
    }
    if (auto* refused = std::get_if<refusal>(&decision)) {
        return std::move(*refused);
    }
    const auto& wait = std::get<wait_decision>(decision);
    waiter self;
    m_waiters[wait.ticket.id] = &self;
    while (!self.grant.has_value()) {
        const auto remaining = wait.give_up_at - m_clock.now();
        if (remaining.count() <= 0) {
            break;
        }
        self.ready.WaitWithTimeout(&m_mutex, absl::Nanoseconds(remaining.count()));
    }
    m_waiters.erase(wait.ticket.id);
    if (self.grant.has_value()) {
        return std::move(*self.grant);
    }
    m_dispatcher.cancel_wait(call.service, wait.ticket);
    return refusal{503, "too_late", "no slot came free in time", m_dispatcher.get_median(call.service)};
}

void entry_state::grant_waiting(time_point now) {
    if (m_waiters.empty()) {
        return;
    }
    for (auto& served : m_dispatcher.grant_waiting(now)) {
        auto* waiting = m_waiters.at(served.ticket);
        waiting->grant = std::move(served.grant);
        waiting->ready.Signal();
    }
}

void entry_state::finish(const request_grant& grant, attempt_result ended, duration latency) {
    const absl::MutexLock lock(&m_mutex);
    const auto now = m_clock.now();
    m_dispatcher.finish(grant, ended, latency, now);
    ++m_request_counts[grant.worker][grant.service];
    grant_waiting(now);
}

void entry_state::finish_forwarded(const call_info& call) {
    const absl::MutexLock lock(&m_mutex);
    m_dispatcher.finish_forwarded(call);
}

bool entry_state::try_retry(const std::string& service) {
    const absl::MutexLock lock(&m_mutex);
    return m_dispatcher.try_retry(service);
}

std::optional<request_grant> entry_state::try_hedge(const call_info& call, const std::string& first_worker) {
    const absl::MutexLock lock(&m_mutex);
    return m_dispatcher.try_hedge(call, first_worker, m_clock.now());
}

// ---- announcements

entry_state::worker_status entry_state::get_worker_status(const announcement& message) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_fleet.get_workers().find(message.id);
    if (found == m_fleet.get_workers().end()) {
        return worker_status::not_owned;
    }
    const auto& worker = found->second;
    if (worker.address != message.address) {
        return worker.is_silent ? worker_status::owned_silent : worker_status::changed_address;
    }
    if (worker.is_silent) {
        return worker_status::owned_silent;
    }
    const bool is_changed = worker.logged_incarnation != message.incarnation ||
                            worker.services != message.services ||
                            worker.ledger.get_capacity() != message.capacity;
    return is_changed ? worker_status::record_outdated : worker_status::owned;
}

std::vector<task_agent::reported_event> entry_state::apply_announcement(const announcement& message,
                                                                        std::int64_t wall_ms) {
    const absl::MutexLock lock(&m_mutex);
    const auto now = m_clock.now();
    m_fleet.apply_announcement(message, now);
    auto events = m_tasks.on_announced(message, now, wall_ms);
    grant_waiting(now);
    return events;
}

void entry_state::end_silence(const std::string& worker) {
    const absl::MutexLock lock(&m_mutex);
    if (auto* found = m_fleet.find(worker)) {
        m_tasks.end_silence(*found, m_clock.now());
    }
}

void entry_state::fill_answer(const announcement& message, bool is_session_valid,
                              announce_answer& answer) const {
    const absl::MutexLock lock(&m_mutex);
    answer.interval = m_settings->system.announce_interval;
    answer.task_lease = m_settings->system.task_lease;
    const auto found = m_fleet.get_workers().find(message.id);
    if (found == m_fleet.get_workers().end()) {
        return;
    }
    const auto& worker = found->second;
    answer.epoch = worker.epoch;
    answer.is_renewed = is_session_valid && message.epoch == worker.epoch && m_tasks.may_renew_leases(worker);
    const bool is_unsure = !m_tasks.may_renew_leases(worker) || !worker.ledger.is_open();
    answer.wants_complete =
        message.epoch < worker.epoch || is_unsure || task_agent::needs_complete_list(worker);
}

// ---- periodic work

entry_state::due_work entry_state::tick(std::int64_t wall_ms) {
    const absl::MutexLock lock(&m_mutex);
    const auto now = m_clock.now();
    m_fleet.tick(now);
    due_work due;
    due.events = m_tasks.get_events(now, m_settings->system.target_silence, wall_ms);
    due.actions = m_tasks.get_actions(now);
    grant_waiting(now);
    return due;
}

std::vector<wire::command> entry_state::on_start_answered(const task_action& action, start_result answer,
                                                          std::int64_t wall_ms) {
    const absl::MutexLock lock(&m_mutex);
    return m_tasks.on_start_answered(action, answer, m_clock.now(), wall_ms);
}

void entry_state::on_stop_answered(const task_action& action) {
    const absl::MutexLock lock(&m_mutex);
    m_tasks.on_stop_answered(action);
}

void entry_state::on_event_committed(const std::string& worker, const wire::job_event& event) {
    const absl::MutexLock lock(&m_mutex);
    m_tasks.on_event_committed(worker, event);
    grant_waiting(m_clock.now());
}

// ---- reports

entry_state::counts entry_state::get_counts() const {
    const absl::MutexLock lock(&m_mutex);
    counts sum;
    sum.workers = m_fleet.get_workers().size();
    sum.waiting = m_dispatcher.get_waiting_count();
    sum.evictions = m_tasks.get_eviction_count();
    for (const auto& [id, worker] : m_fleet.get_workers()) {
        sum.ready_workers += worker.is_usable() ? 1 : 0;
        sum.tasks += worker.tasks.size();
    }
    return sum;
}

std::string entry_state::describe_workers() const {
    const absl::MutexLock lock(&m_mutex);
    auto list = nlohmann::json::array();
    for (const auto& [id, worker] : m_fleet.get_workers()) {
        const auto free = worker.ledger.get_free();
        auto health = worker.health; // get_eligibility may end a quarantine, so it is called on a copy
        list.push_back({{"id", id},
                        {"epoch", worker.epoch},
                        {"ready", worker.is_usable()},
                        {"leaving", worker.is_leaving},
                        {"silent", worker.is_silent},
                        {"trust", get_eligibility_name(health.get_eligibility(m_clock.now()))},
                        {"outstanding", worker.outstanding},
                        {"doubtful", worker.doubtful.size()},
                        {"tasks", worker.tasks.size()},
                        {"free_slots", free.slots},
                        {"free_millicores", free.millicores},
                        {"free_memory", free.memory},
                        {"slowdown", worker.slowdown}});
    }
    return list.dump();
}

} // namespace poplarpitch
