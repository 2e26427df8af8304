#include "unit_tests/state/job_simulation.h"

#include "poplarpitch/state/amounts_codec.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr int max_jobs = 6;
constexpr int max_attempts = 3;
constexpr int workers = 3;

} // namespace

job_simulation::job_simulation(const state_rules& rules, std::uint64_t seed)
    : m_random(seed), m_table(rules, 1000, 1 << 20) {}

std::optional<wire::job> job_simulation::pick_job() {
    if (m_submitted == 0) {
        return std::nullopt;
    }
    return m_table.find("job-" + std::to_string(pick(m_submitted)));
}

void job_simulation::send(const std::string& job, std::uint64_t attempt, wire::job_event_kind kind) {
    wire::job_event event;
    event.set_job(job);
    event.set_attempt(attempt);
    event.set_kind(kind);
    m_events.push_back(event);
}

void job_simulation::submit() {
    if (m_submitted >= max_jobs) {
        return;
    }
    wire::job job;
    job.set_id("job-" + std::to_string(m_submitted));
    job.set_tenant("t");
    job.set_idempotent(m_submitted % 2 == 0);
    job.set_request_hash("h");
    job.mutable_need()->set_millicores(100 + m_submitted);
    ++m_submitted;
    m_table.submit(job, max_jobs, ++m_index);
}

void job_simulation::assign() {
    const auto job = pick_job();
    if (!job.has_value() || job->state() != wire::job_queued) {
        return;
    }
    wire::assign_job command;
    command.set_job(job->id());
    command.set_attempt(job->attempt() + 1);
    command.set_worker("worker-" + std::to_string(pick(workers)));
    m_table.assign(command, 7, ++m_index);
}

void job_simulation::start_run() {
    const auto job = pick_job();
    if (!job.has_value() || job->state() != wire::job_assigned || job->lost()) {
        return;
    }
    auto& actual = m_actual_jobs[job->id()];
    if (actual.runs.contains(job->attempt())) {
        send(job->id(), job->attempt(), wire::event_started); // repeated event
        return;
    }
    if (pick(6) == 0) {
        send(job->id(), job->attempt(), wire::event_refused);
        actual.runs[job->attempt()] = {job->attempt(), false, false}; // the worker keeps refusing it
        return;
    }
    const int live = static_cast<int>(std::count_if(actual.runs.begin(), actual.runs.end(),
                                                    [](const auto& item) { return item.second.is_live; }));
    if (live > 0) {
        m_violation = job->id() + " runs in two places";
    }
    const bool ran_before = std::any_of(actual.runs.begin(), actual.runs.end(), [](const auto& item) {
        return item.second.has_started; // a refused one never ran
    });
    if (!job->idempotent() && ran_before && !actual.is_rerun_allowed && job->evictions() == 0) {
        m_violation = job->id() + " is not idempotent and runs again without an operator's decision";
    }
    actual.is_rerun_allowed = false;
    actual.runs[job->attempt()] = {job->attempt(), true, true};
    send(job->id(), job->attempt(), wire::event_started);
}

void job_simulation::end_run() {
    const auto job = pick_job();
    if (!job.has_value()) {
        return;
    }
    for (auto& [attempt, run] : m_actual_jobs[job->id()].runs) {
        if (run.is_live) {
            run.is_live = false;
            const bool is_failed = pick(4) == 0;
            m_actual_jobs[job->id()].finished += is_failed ? 0 : 1;
            send(job->id(), attempt, is_failed ? wire::event_failed : wire::event_finished);
            return;
        }
    }
}

void job_simulation::evict_run() {
    const auto job = pick_job();
    if (!job.has_value()) {
        return;
    }
    for (auto& [attempt, run] : m_actual_jobs[job->id()].runs) {
        if (run.is_live) {
            run.is_live = false;
            send(job->id(), attempt, pick(2) == 0 ? wire::event_evicted : wire::event_stopped);
            return;
        }
    }
}

void job_simulation::report_worker_lost() {
    const auto job = pick_job();
    if (!job.has_value() || !is_active(job->state())) {
        return;
    }
    // The instance that owns the worker stops renewing its lease and reports it as lost. The run continues
    // until the lease expires.
    send(job->id(), job->attempt(), wire::event_lost);
}

void job_simulation::expire_lease() {
    const auto job = pick_job();
    if (!job.has_value()) {
        return;
    }
    auto& actual = m_actual_jobs[job->id()];
    if (!job->lost()) {
        actual.loss_log_index = 0;
        return;
    }
    if (actual.loss_log_index != job->changed_index()) {
        actual.loss_log_index = job->changed_index(); // the wait for the end of the lease starts
        return;
    }
    // The lease has expired, so the worker has stopped the run itself.
    const auto run = actual.runs.find(job->attempt());
    if (run != actual.runs.end()) {
        run->second.is_live = false;
    }
    wire::job_event event;
    event.set_job(job->id());
    event.set_attempt(job->attempt());
    event.set_kind(wire::event_lease_over);
    event.set_expected_index(job->changed_index());
    m_events.push_back(event);
}

void job_simulation::deliver() {
    if (m_events.empty()) {
        return;
    }
    const auto place = m_events.begin() + pick(static_cast<int>(m_events.size()));
    const auto event = *place;
    if (pick(4) != 0) { // otherwise it is delivered again later
        m_events.erase(place);
    }
    m_table.handle_event(event, max_attempts, ++m_index);
}

void job_simulation::check() {
    m_table.for_each([&](const wire::job& job) {
        const auto& actual = m_actual_jobs[job.id()];
        if (!job.idempotent() && actual.finished > 1 && job.evictions() == 0) {
            m_violation = job.id() + " finished more than once";
        }
        if (job.state() != wire::job_queued) {
            return;
        }
        for (const auto& [attempt, run] : actual.runs) {
            if (run.is_live) {
                m_violation = job.id() + " is queued while attempt " + std::to_string(attempt) + " runs";
            }
        }
    });
}

void job_simulation::check_claims() {
    std::map<std::string, job_claims> sums;
    m_table.for_each([&](const wire::job& job) {
        if (is_active(job.state())) {
            sums[job.worker()].reserved += decode(job.reserved());
            ++sums[job.worker()].tasks_by_tenant[job.tenant()];
        }
    });
    std::size_t bytes = 0;
    m_table.for_each_packed([&](std::string_view record) { bytes += record.size(); });
    if (bytes != m_table.get_bytes()) {
        m_violation = "the bytes of the table are not the sum of the bytes of its records";
    }
    for (int number = 0; number < workers; ++number) {
        const auto worker = "worker-" + std::to_string(number);
        const auto* claims = m_table.find_claims(worker);
        const bool is_same = claims == nullptr ? !sums.contains(worker) : *claims == sums[worker];
        if (!is_same) {
            m_violation = "the claims on " + worker + " are not the sum of those of its jobs";
        }
    }
}

void job_simulation::step() {
    switch (pick(12)) {
    case 0:
        submit();
        break;
    case 1:
    case 2:
        assign();
        break;
    case 3:
    case 4:
        start_run();
        break;
    case 5:
        end_run();
        break;
    case 6:
        evict_run();
        break;
    case 7:
        report_worker_lost();
        break;
    case 8:
        expire_lease();
        break;
    case 9:
        if (const auto job = pick_job(); job.has_value() && pick(10) == 0) {
            wire::cancel_job cancel;
            cancel.set_job(job->id());
            m_table.cancel(cancel, ++m_index);
        }
        break;
    default:
        deliver();
        break;
    }
    check();
    check_claims();
}

std::string job_simulation::run(int steps) {
    for (int step_number = 0; step_number < steps && m_violation.empty(); ++step_number) {
        step();
    }
    return m_violation;
}

} // namespace poplarpitch
