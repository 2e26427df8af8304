#include "poplarpitch/entry/owned_fleet.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/state/amounts_codec.h"

#include <algorithm>
#include <limits>
#include <set>

namespace poplarpitch {
namespace {

constexpr double slowdown_window_requests = 40; // number of requests over which an old slowdown decays
constexpr double max_slowdown_sample = 10;      // one stuck request must not raise the relief level alone
constexpr double peak_decay_factor = 0.9;       // applied at each tick

/// Returns how many times `need` fits into `free`.
std::int32_t count_fits(const resources& free, const resources& need) {
    std::int64_t fits = std::numeric_limits<std::int32_t>::max();
    const auto limit = [&](std::int64_t available, std::int64_t required) {
        if (required > 0) {
            fits = std::min(fits, available > 0 ? available / required : 0);
        }
    };
    limit(free.slots, need.slots);
    limit(free.millicores, need.millicores);
    limit(free.memory, need.memory);
    limit(free.accelerators, need.accelerators);
    return static_cast<std::int32_t>(fits);
}

} // namespace

owned_fleet::owned_fleet(std::string entry_id)
    : m_entry_id(std::move(entry_id)), m_settings(std::make_shared<const configuration>()),
      m_random(static_cast<std::uint32_t>(hash_bytes(m_entry_id)) | 1U) {}

void owned_fleet::set_configuration(std::shared_ptr<const configuration> settings) {
    m_settings = std::move(settings);
    for (const auto& batch : m_settings->batches) {
        m_models.interference.set_prior(m_models.batches.get(batch.name), batch.noise);
    }
    for (auto& [id, worker] : m_workers) {
        worker.relief.set_settings(make_relief_settings(m_settings->objective));
    }
    rebuild_tables({});
}

// ---- ownership

void owned_fleet::set_owned_workers(const std::vector<wire::worker>& owned, time_point now) {
    std::set<std::string> names;
    for (const auto& record : owned) {
        names.insert(record.id());
        auto& worker = m_workers[record.id()];
        if (worker.epoch != record.epoch()) {
            // After a change of epoch nothing is known of what runs on the worker until it has announced it.
            const auto number = m_models.workers.get(record.id());
            worker = owned_worker{};
            worker.id = record.id();
            worker.number = number;
            worker.epoch = record.epoch();
            worker.last_heard = now;
            worker.is_silent = record.silent();
        }
        worker.address = record.address();
        worker.data_centre = record.data_centre();
        worker.services.assign(record.services().begin(), record.services().end());
        worker.logged_incarnation = record.incarnation();
        worker.is_silent_in_log = record.silent();
        worker.ledger.set_capacity(decode(record.capacity()));
        worker.relief.set_settings(make_relief_settings(m_settings->objective));
    }
    std::erase_if(m_workers, [&](const auto& item) { return !names.contains(item.first); });
    rebuild_tables(now);
}

owned_worker* owned_fleet::find(const std::string& id) {
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

void owned_fleet::rebuild_tables(time_point now) {
    m_tables.clear();
    for (const auto& service : m_settings->services) {
        const auto number = m_models.services.get(service.name);
        if (m_tables.size() <= number) {
            m_tables.resize(number + 1);
        }
        m_tables[number].need = service.demand;
    }
    for (auto& [id, worker] : m_workers) {
        worker.rows.clear();
        for (const auto& name : worker.services) {
            if (m_settings->find_service(name) == nullptr) {
                continue;
            }
            const auto number = m_models.services.get(name);
            auto& table = m_tables[number];
            worker.rows.push_back({number, table.candidates.size()});
            table.candidates.emplace_back();
            table.workers.push_back(id);
        }
        refresh(worker, now);
    }
}

const owned_fleet::service_table* owned_fleet::find_table(const std::string& service) const {
    const auto number = m_models.services.find(service);
    return number.has_value() && *number < m_tables.size() ? &m_tables[*number] : nullptr;
}

void owned_fleet::refresh(owned_worker& worker, time_point now) {
    refresh_factors(worker);
    refresh_counts(worker, now);
}

void owned_fleet::refresh_factors(owned_worker& worker) {
    const auto runners = get_co_runners(worker);
    const double speed = m_models.speed.get_factor(worker.number);
    for (const auto& row : worker.rows) {
        auto& candidate = m_tables[row.service].candidates[row.row];
        candidate.factor = static_cast<float>(speed * m_models.interference.predict(row.service, runners));
    }
}

void owned_fleet::refresh_counts(owned_worker& worker, time_point now) {
    const auto eligibility = worker.health.get_eligibility(now);
    const bool is_blocked = eligibility == worker_eligibility::quarantined ||
                            (eligibility == worker_eligibility::probation && worker.outstanding > 0);
    for (const auto& row : worker.rows) {
        auto& table = m_tables[row.service];
        auto& candidate = table.candidates[row.row];
        candidate.outstanding = worker.outstanding;
        candidate.total_slots = count_fits(worker.ledger.get_capacity(), table.need);
        candidate.free_slots =
            worker.is_usable() && !is_blocked ? count_fits(worker.ledger.get_free(), table.need) : 0;
    }
}

// ---- announcements

void owned_fleet::apply_announcement(const announcement& message, time_point now) {
    auto* worker = find(message.id);
    if (worker == nullptr) {
        return;
    }
    if (message.incarnation != worker->incarnation) {
        // The process that ran the doubtful requests has ended, and its sequence numbers are no longer valid.
        for (const auto& [grant, doubt] : worker->doubtful) {
            worker->ledger.release(grant);
            --worker->outstanding;
        }
        worker->doubtful.clear();
        worker->ledger.set_open(false);
    } else if (message.sequence < worker->sequence) {
        return; // out of order: a newer announcement was already processed
    }
    worker->sequence = message.sequence;
    worker->last_heard = now;
    worker->incarnation = message.incarnation;
    worker->is_leaving = message.is_leaving;
    if (message.epoch == worker->epoch) {
        worker->ledger.set_capacity(message.capacity);
        worker->ledger.set_old_epoch_usage(message.old_epoch_usage);
        release_ended_requests(*worker, message);
        // The complete list under this epoch proves that nothing unknown runs on the worker. Control must
        // know the process first, because an assignment names its incarnation.
        if (message.is_complete && message.incarnation == worker->logged_incarnation && !worker->is_silent) {
            worker->ledger.set_open(true);
        }
    }
    refresh(*worker, now);
}

void owned_fleet::release_ended_requests(owned_worker& worker, const announcement& message) {
    std::erase_if(worker.doubtful, [&](const auto& item) {
        const bool is_listed = std::find(message.requests.begin(), message.requests.end(),
                                         item.second.request) != message.requests.end();
        if (is_listed || message.sequence <= item.second.sequence) {
            return false;
        }
        worker.ledger.release(item.first);
        --worker.outstanding;
        return true;
    });
}

// ---- requests

std::optional<request_grant> owned_fleet::start_request(const std::string& service, const std::string& tenant,
                                                        const std::string& request_id, time_point now) {
    const auto* found = find_table(service);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto& table = *found;
    const auto picked = m_router.pick(table.candidates, m_random);
    if (!picked.has_value()) {
        return std::nullopt;
    }
    auto& worker = m_workers.at(table.workers[*picked]);
    const auto id = make_grant_id();
    if (!worker.ledger.try_acquire(id, table.need)) {
        refresh_counts(worker, now); // the routing row was stale; the ledger is authoritative
        return std::nullopt;
    }
    ++worker.outstanding;
    worker.request_peak.slots =
        std::max<std::int64_t>(worker.request_peak.slots, worker.outstanding * table.need.slots);
    worker.request_peak.millicores =
        std::max<std::int64_t>(worker.request_peak.millicores, worker.outstanding * table.need.millicores);
    worker.request_peak.memory =
        std::max<std::int64_t>(worker.request_peak.memory, worker.outstanding * table.need.memory);
    request_grant grant;
    grant.id = id;
    grant.worker = worker.id;
    grant.address = worker.address;
    grant.epoch = worker.epoch;
    grant.service = service;
    grant.tenant = tenant;
    grant.request_id = request_id;
    grant.started = now;
    const auto speed = m_models.speed.get_factor(worker.number);
    grant.interference = static_cast<double>(table.candidates[*picked].factor) / speed;
    refresh_counts(worker, now);
    return grant;
}

void owned_fleet::end_request(const request_grant& grant, attempt_result ended, duration latency,
                              time_point now) {
    auto* worker = find(grant.worker);
    if (worker == nullptr || worker->epoch != grant.epoch || !worker->ledger.has(grant.id)) {
        return; // the worker has changed owner since; the new owner counts what the worker reports
    }
    if (ended == attempt_result::maybe_running || ended == attempt_result::abandoned) {
        // The request may still be running there. Its slot is released when the worker's list no longer names
        // it.
        worker->doubtful[grant.id] = {grant.request_id, worker->sequence + 1};
        if (ended == attempt_result::maybe_running) {
            worker->health.on_failure(now);
        }
        refresh_counts(*worker, now);
        return;
    }
    worker->ledger.release(grant.id);
    --worker->outstanding;
    if (ended == attempt_result::answered) {
        worker->health.on_success();
        update_models(*worker, grant, latency);
    } else if (ended != attempt_result::refused) {
        worker->health.on_failure(now);
    }
    refresh_counts(*worker, now);
}

void owned_fleet::update_models(owned_worker& worker, const request_grant& grant, duration latency) {
    const auto service = m_models.services.get(grant.service);
    const double time_us = to_microseconds(latency);
    const double base_us = m_models.speed.get_base_us(service) * m_models.speed.get_factor(worker.number);
    m_models.speed.add(service, worker.number, time_us, grant.interference);
    if (base_us <= 0) {
        return;
    }
    const double ratio = time_us / base_us;
    m_models.interference.add(service, get_co_runners(worker), ratio);
    worker.slowdown += (std::min(ratio, max_slowdown_sample) - worker.slowdown) / slowdown_window_requests;
}

// ---- tasks

std::vector<co_runner> owned_fleet::get_co_runners(const owned_worker& worker) {
    std::vector<co_runner> runners;
    const auto capacity = std::max<std::int64_t>(worker.ledger.get_capacity().millicores, 1);
    for (const auto& [job, task] : worker.tasks) {
        if (task.grant == 0) {
            continue;
        }
        const auto batch = m_models.batches.get(task.batch);
        const double share = static_cast<double>(task.reserved.millicores) / static_cast<double>(capacity);
        const auto existing = std::find_if(runners.begin(), runners.end(),
                                           [&](const co_runner& runner) { return runner.batch == batch; });
        if (existing == runners.end()) {
            runners.push_back({batch, share});
        } else {
            existing->share += share;
        }
    }
    return runners;
}

bool owned_fleet::start_task(owned_worker& worker, owned_task& task) {
    const auto id = make_grant_id();
    if (!worker.is_usable() || !worker.ledger.try_acquire(id, task.reserved)) {
        return false;
    }
    task.grant = id;
    refresh(worker, {});
    return true;
}

void owned_fleet::adopt_task(owned_worker& worker, owned_task& task) {
    if (task.grant == 0) {
        task.grant = make_grant_id();
        worker.ledger.adopt(task.grant, task.reserved);
        refresh(worker, {});
    }
}

void owned_fleet::end_task(owned_worker& worker, owned_task& task) {
    if (task.grant != 0) {
        worker.ledger.release(task.grant);
        task.grant = 0;
        refresh(worker, {});
    }
}

// ---- periodic work

void owned_fleet::tick(time_point now) {
    const auto decay = [](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * peak_decay_factor);
    };
    for (auto& [id, worker] : m_workers) {
        auto& peak = worker.request_peak;
        peak = {decay(peak.slots), decay(peak.millicores), decay(peak.memory), decay(peak.accelerators)};
        if (worker.outstanding == 0) {
            worker.slowdown += (1 - worker.slowdown) / slowdown_window_requests;
        }
        refresh(worker, now);
    }
}

std::int64_t owned_fleet::get_free_slots(const std::string& service) const {
    std::int64_t sum = 0;
    if (const auto* table = find_table(service)) {
        for (const auto& candidate : table->candidates) {
            sum += candidate.free_slots;
        }
    }
    return sum;
}

bool owned_fleet::has_slots(const std::string& service) const {
    const auto* table = find_table(service);
    if (table == nullptr) {
        return false;
    }
    for (std::size_t row = 0; row < table->candidates.size(); ++row) {
        if (table->candidates[row].total_slots > 0 && m_workers.at(table->workers[row]).is_usable()) {
            return true;
        }
    }
    return false;
}

std::int64_t owned_fleet::get_total_slots(const std::string& service) const {
    std::int64_t sum = 0;
    if (const auto* table = find_table(service)) {
        for (std::size_t row = 0; row < table->candidates.size(); ++row) {
            if (m_workers.at(table->workers[row]).is_usable()) {
                sum += table->candidates[row].total_slots;
            }
        }
    }
    return sum;
}

} // namespace poplarpitch
