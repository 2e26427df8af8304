#include "unit_tests/dispatch/long_running_world.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/dispatch/test_steps.h"

#include <algorithm>
#include <utility>

namespace poplarpitch {
namespace {

// No time of the dispatcher is a multiple of it, as with real clocks.
constexpr duration tick = std::chrono::microseconds{9973};
constexpr duration heartbeat_interval = milliseconds{1100};
constexpr std::uint64_t short_tasks_steps = 5;             // between two looks at the load of short tasks
constexpr duration first_answer_delay = milliseconds{150}; // of a slow answer
constexpr duration last_answer_delay = milliseconds{1300}; // some come after the order's timeout
constexpr duration min_order_delay = seconds{2};           // of a late order, longer than any order's timeout
constexpr duration max_order_delay = seconds{12};
constexpr duration start_time = seconds{2}; // until all workers are known
constexpr std::int64_t max_short_millicores = 4000;
constexpr duration min_short_length = milliseconds{300};
constexpr duration max_short_length = seconds{4};
constexpr std::int64_t accelerators = 4;      // of every fourth worker
constexpr std::uint64_t idle_watch_steps = 5; // between two looks at all jobs; no run is shorter
constexpr std::int64_t max_look_phase_ms = 1500;
constexpr duration crash_time = milliseconds{50};      // from the start of a crashing task to the crash
constexpr duration min_fault_time = milliseconds{100}; // from the start of a run that fails to its end
constexpr time_point first_time{seconds{1000}};
constexpr std::int64_t first_wall_ms = 1'700'000'000'000;
constexpr const char* pool = "mill";
constexpr duration max_start_after_drain = seconds{5}; // after an operator was told that a drain is in force

} // namespace

/// A machine of a worker, and what disrupts it.
struct long_running_world::machine {
    std::size_t number = 0;
    std::string address;
    std::string id;
    std::unique_ptr<simulated_worker> process; ///< null while it is down
    bool refuses_connections = false;          ///< while it is down: else orders get no answer
    bool is_restarting = false;
    std::uint64_t process_number = 0;
    time_point next_heartbeat{};
    time_point cut_until{};
    time_point failing_until{};
    time_point slow_until{};
    time_point refusing_starts_until{};
    time_point unhealthy_until{};
    time_point unsent_until{};
    time_point one_way_cut_until{};
    time_point late_until{};
};

long_running_world::long_running_world(const long_running_world_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_now(first_time), m_wall_ms(first_wall_ms),
      m_fault_random(seed + 1),
      m_idle_watch(first_time + milliseconds{seed % static_cast<std::uint64_t>(max_look_phase_ms)}) {
    configure();
    start_leading();
    for (int number = 0; number < settings.workers; ++number) {
        add_machine();
    }
    run(start_time);
}

long_running_world::~long_running_world() = default;

std::int64_t long_running_world::pick(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
}

duration long_running_world::pick_time(duration least, duration most) {
    return milliseconds{pick(to_milliseconds(least), to_milliseconds(most))};
}

void long_running_world::schedule_call(duration wait, std::function<void()> call) {
    m_scheduled_calls.push({m_now + wait, m_next_call++, std::move(call)});
}

void long_running_world::configure() {
    job_configuration configuration;
    configuration.version = 1;
    configuration.pools.push_back({pool, m_settings.enforces_capacity, false, 64});
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    apply(command);
}

// ---- jobs

job_id long_running_world::submit(const step_spec& step, duration length) {
    constexpr std::uint32_t max_attempts = 3;
    return submit_job({step}, length, max_attempts);
}

job_id long_running_world::submit_job(const std::vector<step_spec>& steps, duration length,
                                      std::uint32_t max_attempts, const std::optional<task_key>& crashing) {
    step_job job;
    job.id = m_next_job++;
    job.steps = steps;
    job.queue.name = "queue";
    job.queue.pool = pool;
    job.queue.max_attempts = max_attempts;
    job.queue.latency_factor = 2;
    job.queue.target_latency = seconds{1};
    job.accepted_ms = m_wall_ms;
    m_lengths[job.id] = length;
    const auto& kept = m_jobs[job.id] = std::make_shared<const step_job>(job);
    m_open_jobs.insert(job.id);
    if (crashing.has_value()) {
        m_crashing_tasks.insert({{job.id, 0, crashing->step.step}, crashing->index});
    }
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const auto& step = kept->steps[number];
        if (!step.long_running) {
            continue;
        }
        m_long_running_millicores += step.millicores * step.count;
        for (std::uint32_t index = 0; index < step.count; ++index) {
            m_watch.add_task({{job.id, 0, number}, index}, step, m_now);
        }
    }
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    apply(command);
    return job.id;
}

void long_running_world::cancel(job_id id) {
    for (const auto& step : m_jobs.at(id)->steps) {
        m_long_running_millicores -= step.long_running ? step.millicores * step.count : 0;
    }
    m_watch.remove_job(id);
    job_wire::job_command command;
    command.mutable_cancel()->set_id(id);
    apply(command);
}

/// Submits short tasks until the tasks that run or wait use the wanted share of all processor time.
void long_running_world::submit_short_tasks() {
    std::int64_t wanted = m_long_running_millicores;
    std::erase_if(m_short_jobs, [&](job_id id) {
        const auto* record = m_job_state.find_job(id);
        return record == nullptr || record->phase != job_phase::open;
    });
    for (const auto id : m_short_jobs) {
        wanted += m_jobs.at(id)->steps.front().millicores;
    }
    std::int64_t capacity = 0;
    for (const auto& target : m_machines) {
        capacity += target->process != nullptr && !target->process->get_report().is_draining
                        ? m_settings.capacity.millicores
                        : 0;
    }
    const auto allowed = static_cast<std::int64_t>(static_cast<double>(capacity) * m_settings.fill);
    while (true) {
        auto step = make_step();
        step.millicores = pick(1, max_short_millicores / 1000) * 1000;
        if (wanted + step.millicores > allowed) {
            return;
        }
        wanted += step.millicores;
        const auto length = pick_time(min_short_length, max_short_length);
        step.estimate_ms = to_milliseconds(length);
        m_short_jobs.insert(submit(step, length));
    }
}

// ---- data centres

void long_running_world::drain(const std::string& data_centre, bool undo) {
    m_wanted_drains[data_centre] = !undo;
    if (undo) {
        m_drained_at.erase(data_centre);
    }
}

bool long_running_world::are_drains_committed() const {
    return std::all_of(m_wanted_drains.begin(), m_wanted_drains.end(), [this](const auto& item) {
        return m_job_state.is_drained(item.first) == item.second;
    });
}

void long_running_world::record_drains() {
    for (const auto& [data_centre, is_wanted] : m_wanted_drains) {
        if (is_wanted && m_job_state.is_drained(data_centre)) {
            m_drained_at.try_emplace(data_centre, m_now);
        }
    }
}

void long_running_world::check_start(const start_order& order, const machine& target) {
    const auto found = m_drained_at.find(target.process->get_report().data_centre);
    if (found != m_drained_at.end() && m_now > found->second + max_start_after_drain) {
        m_starts_after_drain.push_back(
            "job " + std::to_string(order.run.task.step.job) + " started on " + target.id + " " +
            std::to_string(to_milliseconds(m_now - found->second)) + " ms after its data centre was drained");
    }
}

// ---- time

void long_running_world::run(duration length) {
    const auto end = m_now + length;
    while (m_now < end) {
        step();
    }
}

void long_running_world::step() {
    m_now += tick;
    m_wall_ms = first_wall_ms + to_milliseconds(m_now - first_time);
    ++m_steps;
    run_scheduled_calls();
    for (auto& target : m_machines) {
        if (target->process == nullptr) {
            continue;
        }
        target->process->advance(m_now);
        if (m_now >= target->next_heartbeat) {
            target->next_heartbeat = m_now + heartbeat_interval;
            send_heartbeat(*target);
        }
    }
    if (m_steps % short_tasks_steps == 0) {
        submit_short_tasks();
    }
    tick_leader();
    record_drains();
    check_runs();
    const bool is_any_disrupted = !m_scheduler->is_leading() ||
                                  std::any_of(m_machines.begin(), m_machines.end(),
                                              [this](const auto& target) { return is_disrupted(*target); });
    if (is_any_disrupted) {
        m_watch.record_disruption(m_now);
        m_idle_watch.record_disruption(m_now);
    }
    m_watch.observe(watch_workers(), m_now);
    if (m_steps % idle_watch_steps == 0) {
        observe_jobs();
    }
}

void long_running_world::run_scheduled_calls() {
    while (!m_scheduled_calls.empty() && m_scheduled_calls.top().when <= m_now) {
        const auto call = m_scheduled_calls.top().call;
        m_scheduled_calls.pop();
        call();
    }
}

// ---- machines

void long_running_world::add_machine() {
    auto target = std::make_unique<machine>();
    target->number = m_machines.size();
    target->address = "10.0.0." + std::to_string(target->number + 1) + ":80";
    m_machines.push_back(std::move(target));
    start_process(*m_machines.back());
}

void long_running_world::start_process(machine& target) {
    ++m_process_count;
    target.process_number = static_cast<std::uint64_t>(m_process_count);
    target.is_restarting = false;
    target.refuses_connections = false;
    if (target.id.empty() || !m_settings.reports_start_times) {
        target.id = "w" + std::to_string(m_process_count);
    }
    worker_report report;
    report.incarnation = {target.id, m_settings.reports_start_times ? m_wall_ms : 0};
    report.address = target.address;
    report.pool = pool;
    report.rack = "r1";
    report.data_centre = world_data_centres.at(target.number % world_data_centres.size());
    report.labels = {"r1"};
    if (target.number % 2 == 0) {
        report.labels.emplace_back("fast");
    }
    report.capacity = m_settings.capacity;
    report.capacity.accelerators = target.number % 4 == 0 ? accelerators : 0;
    target.process = std::make_unique<simulated_worker>(report, m_now);
    target.process->fail_runs_until(target.failing_until);
    if (m_settings.reports_loads) {
        target.process->report_loads();
    }
    target.next_heartbeat = m_now + pick_time(milliseconds{10}, heartbeat_interval);
}

void long_running_world::end_process(machine& target, bool with_reset) {
    if (target.process == nullptr) {
        return;
    }
    const auto on_answer = target.process->take_pending_hold();
    target.process = nullptr;
    target.refuses_connections = with_reset;
    if (with_reset && on_answer) {
        on_answer({order_failure::unanswered, {}});
    }
    m_watch.record_disruption(m_now);
    m_idle_watch.record_disruption(m_now);
}

void long_running_world::restart_machine(machine& target, duration outage) {
    if (target.process != nullptr) {
        end_process(target, true);
        target.is_restarting = true;
        schedule_call(outage, [this, &target] { start_process(target); });
    }
}

void long_running_world::end_for_good(machine& target, bool with_reset) {
    if (target.process == nullptr) {
        return;
    }
    end_process(target, with_reset);
    if (m_settings.replacement_time > duration{0}) {
        schedule_call(m_settings.replacement_time, [this] { add_machine(); });
    }
}

void long_running_world::leave(machine& target, duration notice) {
    if (target.process == nullptr || target.process->get_report().is_draining) {
        return;
    }
    target.process->drain(notice);
    target.next_heartbeat = m_now;
    schedule_call(notice, [this, &target, process_number = target.process_number] {
        if (target.process == nullptr || target.process_number != process_number) {
            return;
        }
        if (m_now >= target.cut_until && m_now >= target.one_way_cut_until) {
            m_scheduler->on_deregister(target.process->get_report().incarnation, m_now);
        }
        end_for_good(target, true);
    });
}

void long_running_world::send_heartbeat(machine& target) {
    const auto report = target.process->make_heartbeat(m_now);
    if (m_now < target.cut_until || m_now < target.one_way_cut_until) {
        return;
    }
    if (m_scheduler->on_heartbeat(report, m_now)) {
        job_wire::job_command command;
        command.mutable_retire()->set_worker(report.incarnation.id);
        command.mutable_retire()->set_born_ms(report.incarnation.process_start_ms);
        m_queued_commands.push_back(std::move(command));
    }
}

bool long_running_world::is_disrupted(const machine& target) const {
    if (target.process == nullptr) {
        return target.is_restarting || m_now < target.unsent_until;
    }
    return target.process->get_report().is_draining || m_now < target.cut_until ||
           m_now < target.failing_until || m_now < target.slow_until ||
           m_now < target.refusing_starts_until || m_now < target.unhealthy_until ||
           m_now < target.unsent_until || m_now < target.one_way_cut_until || m_now < target.late_until;
}

void long_running_world::disrupt(const simulated_disruption& what) {
    std::vector<std::size_t> chosen;
    for (const auto& target : m_machines) {
        if (pick(0, 99) < what.percent) {
            chosen.push_back(target->number);
        }
    }
    disrupt(what, chosen);
}

void long_running_world::disrupt(const simulated_disruption& what, const std::vector<std::size_t>& workers) {
    m_watch.record_disruption(m_now);
    m_idle_watch.record_disruption(m_now);
    if (what.kind == disruption_kind::leader_change) {
        lose_leader(what.length);
        return;
    }
    const auto until = m_now + what.length;
    for (const auto number : workers) {
        auto& target = *m_machines[number];
        switch (what.kind) {
        case disruption_kind::loss:
        case disruption_kind::loss_with_reset:
            end_for_good(target, what.kind == disruption_kind::loss_with_reset);
            break;
        case disruption_kind::restart:
            restart_machine(target, what.length);
            break;
        case disruption_kind::failures:
            target.failing_until = until;
            if (target.process != nullptr) {
                target.process->fail_runs_until(until);
            }
            break;
        case disruption_kind::slow_answers:
            target.slow_until = until;
            break;
        case disruption_kind::refused_starts:
            target.refusing_starts_until = until;
            break;
        case disruption_kind::unhealthy:
            target.unhealthy_until = until;
            break;
        case disruption_kind::unsent_orders:
            target.unsent_until = until;
            break;
        case disruption_kind::cut:
            target.cut_until = until;
            break;
        case disruption_kind::one_way_cut:
            target.one_way_cut_until = until;
            break;
        case disruption_kind::late_orders:
            target.late_until = until;
            break;
        case disruption_kind::drain:
            leave(target, what.length);
            break;
        case disruption_kind::leader_change:
            break;
        }
    }
}

// ---- leader

void long_running_world::lose_leader(duration outage) {
    if (m_scheduler->is_leading()) {
        m_scheduler->stop_leading();
        drop_uncommitted_commands();
        schedule_call(outage, [this] { start_leading(); });
        if (outage == duration{0}) {
            run_scheduled_calls();
        }
    }
}

/// As in a crash_world: with equal probability the batch being committed survives as a whole or is lost.
void long_running_world::drop_uncommitted_commands() {
    m_queued_commands.clear();
    const auto batch = std::exchange(m_committing_commands, {});
    if (pick(0, 1) == 1) {
        for (const auto& command : batch) {
            apply(command);
        }
    }
}

void long_running_world::start_leading() {
    m_scheduler = std::make_unique<dispatcher>(dispatch_settings{}, m_job_state);
    m_scheduler->start_leading(++m_term, m_now, m_wall_ms);
}

void long_running_world::apply(const job_wire::job_command& command) {
    std::vector<job_state_event> events;
    m_job_state.apply(command, events);
    if (m_scheduler == nullptr) {
        return;
    }
    for (const auto& event : events) {
        m_scheduler->on_event(event, m_now, m_wall_ms);
    }
}

void long_running_world::commit() {
    for (const auto& command : std::exchange(m_committing_commands, {})) {
        apply(command);
    }
}

void long_running_world::tick_leader() {
    if (!m_scheduler->is_leading()) {
        return;
    }
    m_scheduler->tick(m_now, m_wall_ms, m_committing_commands.empty());
    for (auto& command : m_scheduler->take_commands()) {
        m_queued_commands.push_back(std::move(command));
    }
    const bool has_proposed = !m_committing_commands.empty() || !m_queued_commands.empty();
    for (const auto& [data_centre, is_wanted] : m_wanted_drains) {
        if (!has_proposed && m_job_state.is_drained(data_centre) != is_wanted) {
            job_wire::job_command command;
            command.mutable_drain()->set_name(data_centre);
            command.mutable_drain()->set_undo(!is_wanted);
            m_queued_commands.push_back(std::move(command));
        }
    }
    if (m_committing_commands.empty() && !m_queued_commands.empty()) {
        m_committing_commands = std::exchange(m_queued_commands, {});
        schedule_call(pick_time(milliseconds{1}, m_settings.max_commit_time), [this, term = m_term] {
            if (m_scheduler->is_leading() && term == m_term) {
                commit();
            }
        });
    }
    for (const auto& order : m_scheduler->take_orders()) {
        send(order);
    }
}

// ---- orders

void long_running_world::send(const worker_order& order) {
    std::visit(
        [this](const auto& item) {
            using order_type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<order_type, hold_order> || std::is_same_v<order_type, start_order> ||
                          std::is_same_v<order_type, stop_order> || std::is_same_v<order_type, pace_order>) {
                for (const auto& target : m_machines) {
                    if (target->address == item.target.address) {
                        send_to(item, *target);
                    }
                }
            }
        },
        order);
}

template <class Order>
void long_running_world::send_to(const Order& order, machine& target) {
    auto sent = std::make_shared<sent_order>();
    sent->on_outcome = [this, order, term = m_term](const order_outcome& outcome) {
        if (m_scheduler->is_leading() && term == m_term) {
            deliver(order, outcome);
        }
    };
    if (m_now < target.unsent_until) {
        schedule_call(tick, [sent] { complete(sent, {order_failure::not_sent, {}}); });
        return;
    }
    const bool is_late = m_now < target.late_until && pick(0, 1) == 1;
    sent->is_late = is_late;
    const auto delay = is_late ? pick_time(min_order_delay, max_order_delay) : tick;
    schedule_call(delay, [this, order, sent, &target] { receive(order, target, sent); });
    schedule_call(order.target.timeout, [sent] { complete(sent, {order_failure::unanswered, {}}); });
}

template <class Order>
void long_running_world::receive(const Order& order, machine& target, const sent_order_ptr& sent) {
    if (m_now < target.cut_until || (target.process == nullptr && !target.refuses_connections)) {
        return; // its timeout completes it
    }
    if (target.process == nullptr) {
        complete(sent, {order_failure::unreachable, {}});
        return;
    }
    if (target.id != order.target.worker.id) {
        send_answer(target, sent, {order_failure::other_incarnation, {}});
        return;
    }
    if (m_now < target.unhealthy_until) {
        send_answer(target, sent, {order_failure::unhealthy, {}});
        return;
    }
    const auto on_answer = [this, sent, &target](const order_outcome& outcome) {
        send_answer(target, sent, outcome);
    };
    if constexpr (std::is_same_v<Order, start_order>) {
        if (m_now < target.refusing_starts_until) {
            on_answer({order_failure::no_capacity, {}});
            return;
        }
        const bool was_there = target.process->get_runs().contains(order.run);
        target.process->receive(order, m_lengths.at(order.run.task.step.job), m_now, on_answer);
        if (!was_there && !sent->is_late && target.process->get_runs().contains(order.run)) {
            check_start(order, target);
        }
        if (!was_there && target.process->get_runs().contains(order.run)) {
            begin_run(order, target);
        }
    } else {
        target.process->receive(order, m_now, on_answer);
    }
}

void long_running_world::send_answer(machine& target, const sent_order_ptr& sent,
                                     const order_outcome& outcome) {
    if (m_now < target.cut_until || m_now < target.one_way_cut_until) {
        return; // its timeout completes it
    }
    if (m_now < target.slow_until) {
        schedule_call(pick_time(first_answer_delay, last_answer_delay),
                      [sent, outcome] { complete(sent, outcome); });
        return;
    }
    complete(sent, outcome);
}

void long_running_world::complete(const sent_order_ptr& sent, const order_outcome& outcome) {
    if (!std::exchange(sent->is_completed, true)) {
        sent->on_outcome(outcome);
    }
}

void long_running_world::deliver(const hold_order& order, const order_outcome& outcome) {
    m_scheduler->on_hold(order.target.worker, outcome, m_now);
}

void long_running_world::deliver(const start_order& order, const order_outcome& outcome) {
    m_scheduler->on_start(order.run, {outcome.failure, outcome.answer.clock_ms}, m_now);
}

void long_running_world::deliver(const stop_order& order, const order_outcome& outcome) {
    m_scheduler->on_stop(order.run, order.target.worker, {outcome.failure, outcome.answer.clock_ms}, m_now);
}

void long_running_world::deliver(const pace_order& order, const order_outcome& outcome) {
    m_scheduler->on_pace(order.run, order.percent, {outcome.failure, outcome.answer.clock_ms}, m_now);
}

/// Lets the run fail or crash its worker if it is at fault.
void long_running_world::begin_run(const start_order& order, machine& target) {
    const auto& spec = order.job->steps[order.run.task.step.step];
    if (m_crashing_tasks.contains(order.run.task)) {
        schedule_call(crash_time, [this, &target, number = target.process_number, run = order.run] {
            if (target.process != nullptr && target.process_number == number &&
                target.process->get_runs().contains(run)) {
                restart_machine(target, m_settings.restart_time);
            }
        });
    }
    const auto drawn = static_cast<int>(m_fault_random() % 100);
    const auto share = static_cast<std::int64_t>(m_fault_random() % 100);
    if (!spec.long_running && drawn < m_settings.faulty_percent) {
        const auto length = m_lengths.at(order.run.task.step.job);
        target.process->fail_run(order.run, m_now + std::max(length * share / 100, min_fault_time));
    }
}

// ---- observations

void long_running_world::observe_jobs() {
    std::set<task_key> done;
    for (const auto& target : m_machines) {
        if (target->process == nullptr) {
            continue;
        }
        for (const auto& row : target->process->get_ended()) {
            if (row.end == run_end::done) {
                done.insert(row.run.task);
            }
        }
    }
    m_idle_watch.observe(watch_workers(), find_due_steps(m_job_state, m_open_jobs, done), m_now);
}

std::vector<watched_worker> long_running_world::watch_workers() const {
    std::vector<watched_worker> workers;
    workers.reserve(m_machines.size());
    for (const auto& target : m_machines) {
        if (target->process == nullptr) {
            continue;
        }
        watched_worker worker;
        worker.report = &target->process->get_report();
        worker.is_up = true;
        worker.is_sound = !is_disrupted(*target);
        for (const auto& [key, run] : target->process->get_runs()) {
            worker.runs.push_back({key.task, &run.get_spec(key)});
        }
        workers.push_back(std::move(worker));
    }
    return workers;
}

void long_running_world::check_runs() {
    std::map<task_key, std::size_t> hosts;
    for (const auto& target : m_machines) {
        if (target->process == nullptr) {
            continue;
        }
        for (const auto& [key, run] : target->process->get_runs()) {
            if (!hosts.emplace(key.task, target->number).second) {
                m_violations.push_back("two runs of a task of job " + std::to_string(key.task.step.job) +
                                       " at a time, one on " + target->id);
            }
        }
    }
}

std::vector<std::size_t> long_running_world::find_hosts(job_id id) const {
    std::vector<std::size_t> hosts;
    for (const auto& target : m_machines) {
        if (target->process == nullptr) {
            continue;
        }
        const auto& runs = target->process->get_runs();
        if (std::any_of(runs.begin(), runs.end(),
                        [id](const auto& item) { return item.first.task.step.job == id; })) {
            hosts.push_back(target->number);
        }
    }
    return hosts;
}

std::size_t long_running_world::count_running(job_id id) const {
    std::size_t running = 0;
    for (const auto& worker : watch_workers()) {
        running += static_cast<std::size_t>(
            std::count_if(worker.runs.begin(), worker.runs.end(),
                          [id](const auto& run) { return run.task.step.job == id; }));
    }
    return running;
}

std::size_t long_running_world::count_runs_in(const std::string& data_centre) const {
    std::size_t runs = 0;
    for (const auto& worker : watch_workers()) {
        runs += worker.report->data_centre == data_centre ? worker.runs.size() : 0;
    }
    return runs;
}

double long_running_world::get_used_share() const {
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const auto& worker : watch_workers()) {
        capacity += worker.report->capacity.millicores;
        for (const auto& run : worker.runs) {
            used += get_need(*run.spec).millicores;
        }
    }
    return capacity == 0 ? 0 : static_cast<double>(used) / static_cast<double>(capacity);
}

} // namespace poplarpitch
