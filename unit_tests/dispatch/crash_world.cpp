#include "unit_tests/dispatch/crash_world.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/relay/relay_agent.h"
#include "poplarpitch/relay/relay_codec.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <set>
#include <utility>

namespace poplarpitch {
namespace {

constexpr std::uint64_t default_seed_count = 30; // takes a few seconds in all
constexpr duration tick = milliseconds{10};
constexpr duration heartbeat_interval = milliseconds{1100};
constexpr duration network_delay = milliseconds{2};
constexpr duration takeover_time = seconds{3}; // starts count against a leader only after this time
constexpr duration capacity_report_delay = milliseconds{4100}; // 3 s and one heartbeat
constexpr std::int64_t max_lease_ms = 10'000;                  // a worker shortens longer leases
constexpr std::int64_t max_clock_step_ms = 60'000;
constexpr std::int64_t first_clock_ms = 1;
constexpr duration max_heartbeat_delay = seconds{4}; // of late heartbeats
constexpr duration min_fault_time = seconds{1};
constexpr duration max_one_way_partition = seconds{10};
constexpr duration max_unhealthy_time = seconds{3};
constexpr duration max_expired_order_delay = seconds{5};
constexpr duration max_stall = seconds{5};
constexpr duration max_relay_start = seconds{1};
constexpr duration min_outage = milliseconds{200};
constexpr duration max_outage = seconds{3};
constexpr duration drain_time = seconds{2};
constexpr duration max_refusal_time = seconds{2}; // for which a draining worker refuses connections
constexpr duration relay_timeout = seconds{1};    // after this a worker sends its heartbeat to the leader
constexpr duration gang_timeout = seconds{5};
constexpr duration gang_break_delay = milliseconds{50};
constexpr duration power_loss_failure_time = seconds{2};
constexpr const char* pool = "mill";

struct simulated_run {
    std::shared_ptr<const step_job> job;
    time_point started{};
    bool is_stopping = false;
};

struct reported_capacity {
    time_point since{};
    worker_amounts capacity;
};

} // namespace

std::uint64_t get_seed_count() {
    const char* text = std::getenv("POPLARPITCH_SEEDS");
    return text == nullptr ? default_seed_count : std::strtoull(text, nullptr, 10);
}

/// A worker machine and its current incarnation.
struct crash_world::worker {
    std::string address;
    std::string id;
    int incarnation = 0;                ///< number of the current incarnation, unique among all workers
    std::int64_t process_start_ms = 0;  ///< start time that this incarnation reports
    std::set<std::int64_t> start_times; ///< start times of all its incarnations
    time_point clock_start{};           ///< time at which the worker's clock started
    std::int64_t clock_offset_ms = 0;   ///< offset of the worker's wall clock
    bool is_up = false;
    time_point partitioned_until{};
    time_point next_heartbeat{};
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::uint64_t next_end_number = 1;
    std::uint64_t acknowledged = 0; ///< ends up to this number are dropped, including later ones
    std::int64_t lease_ms = 0;
    std::map<run_key, simulated_run> running;
    std::map<task_key, std::uint32_t> highest_runs; ///< runs up to this number are refused
    std::vector<run_end_entry> ended;
    std::set<std::uint64_t> lapsed_ends; ///< numbers of the ends listed when the lease expired; the outcome
                                         ///< of these may be unknown
    std::optional<hold_order> hold;
    sent_order_ptr sent_hold;
    std::uint64_t hold_number = 0; ///< number of the pending hold, so that its timer does not end a later one
    std::vector<reported_capacity> capacities; ///< all capacities of this incarnation, the newest last
    std::string data_centre;
    double clock_rate = 1;
    bool is_draining = false;
    bool is_refusing = false; ///< refuses connections while its runs continue
    time_point leaves_at{};
    time_point unhealthy_until{};
    time_point one_way_partition_until{};
    bool has_delayed_heartbeat = false;

    [[nodiscard]] const worker_amounts& get_capacity() const { return capacities.back().capacity; }
};

/// A control instance that relays orders to the workers of its data centre.
struct crash_world::relay {
    relay_instance instance;
    std::unique_ptr<relay_agent> agent; ///< null while the process is down
    std::uint64_t process_number = 0;   ///< number of its process
    time_point stalled_until{};
};

crash_world::crash_world(const crash_world_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_scheduler(dispatch_settings{}, m_job_state),
      m_hub(relay_settings{}) {
    configure();
    for (int number = 1; number <= settings.data_centres; ++number) {
        auto node = std::make_unique<relay>();
        node->instance = {static_cast<std::uint32_t>(number), "dc" + std::to_string(number)};
        m_relays.push_back(std::move(node));
        start_relay(*m_relays.back());
    }
    start_leading();
    for (int number = 1; number <= settings.workers; ++number) {
        auto target = std::make_unique<worker>();
        target->address = "10.0.0." + std::to_string(number) + ":80";
        if (settings.data_centres > 0) {
            target->data_centre = "dc" + std::to_string(number % settings.data_centres + 1);
        }
        m_workers.push_back(std::move(target));
        start_incarnation(*m_workers.back());
    }
    run(seconds{1});
}

crash_world::~crash_world() = default;

bool crash_world::happens(double per_second) {
    return static_cast<double>(m_random() % 1'000'000) < per_second * to_seconds(tick) * 1e6;
}

void crash_world::configure() {
    job_configuration configuration;
    configuration.version = 1;
    configuration.pools.push_back({pool, m_settings.enforces_capacity, false, 64});
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    std::vector<job_state_event> events;
    m_job_state.apply(command, events);
}

void crash_world::schedule_call(duration wait, std::function<void()> call) {
    m_scheduled_calls.push({m_now + wait, m_next_call++, std::move(call)});
}

job_id crash_world::submit(const std::vector<step_spec>& steps, duration length) {
    step_job job;
    job.id = m_next_job++;
    job.steps = steps;
    job.queue.name = "queue";
    job.queue.pool = pool;
    job.queue.max_attempts = 3;
    job.queue.latency_factor = 2;
    job.queue.target_latency = seconds{1};
    job.accepted_ms = m_wall_ms;
    m_lengths[job.id] = length;
    m_jobs[job.id] = std::make_shared<const step_job>(job);
    m_open_jobs.insert(job.id);
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    std::vector<job_state_event> events;
    m_job_state.apply(command, events);
    for (const auto& event : events) {
        m_scheduler.on_event(event, m_now, m_wall_ms);
    }
    return job.id;
}

void crash_world::cancel(job_id id) {
    job_wire::job_command command;
    command.mutable_cancel()->set_id(id);
    std::vector<job_state_event> events;
    m_job_state.apply(command, events);
    for (const auto& event : events) {
        m_scheduler.on_event(event, m_now, m_wall_ms);
    }
}

void crash_world::run(duration length) {
    const auto end = m_now + length;
    while (m_now < end) {
        step();
    }
}

void crash_world::step() {
    m_now += tick;
    m_wall_ms += to_milliseconds(tick);
    inject_faults();
    while (!m_scheduled_calls.empty() && m_scheduled_calls.top().when <= m_now) {
        const auto call = m_scheduled_calls.top().call;
        m_scheduled_calls.pop();
        call();
        tick_leader();
    }
    for (auto& target : m_workers) {
        if (target->is_up && m_now >= target->next_heartbeat) {
            target->next_heartbeat = m_now + heartbeat_interval;
            send_heartbeat(*target);
        }
        if (target->is_up && get_clock(*target) > target->lease_ms) {
            lapse(*target);
        }
    }
    tick_leader();
    if (m_idle_watch.has_value()) {
        observe_jobs();
    }
}

void crash_world::inject_faults() {
    if (happens(m_settings.worker_crashes)) {
        crash(*m_workers[pick(m_workers.size())]);
    }
    if (happens(m_settings.worker_partitions)) {
        auto& target = *m_workers[pick(m_workers.size())];
        target.partitioned_until = m_now + pick_time(min_fault_time, m_settings.max_partition);
        if (m_settings.partitions_refuse_calls && target.hold.has_value()) {
            complete(target.sent_hold, {order_failure::unanswered, {}});
            target.hold.reset();
        }
    }
    if (happens(m_settings.leader_losses)) {
        start_leading();
    }
    if (happens(m_settings.clock_steps)) {
        m_workers[pick(m_workers.size())]->clock_offset_ms -=
            static_cast<std::int64_t>(pick(max_clock_step_ms));
    }
    if (happens(m_settings.failures)) {
        fail_random_run();
    }
    if (happens(m_settings.capacity_changes)) {
        change_capacity(*m_workers[pick(m_workers.size())]);
    }
    inject_control_faults();
    inject_worker_faults();
}

void crash_world::inject_control_faults() {
    if (m_settings.power_losses > 0 && happens(m_settings.power_losses) && m_has_leader) {
        lose_power();
    }
    if (m_settings.relay_stalls > 0 && happens(m_settings.relay_stalls)) {
        m_relays[pick(m_relays.size())]->stalled_until = m_now + pick_time(milliseconds{1}, max_stall);
    }
    if (m_settings.relay_losses > 0 && happens(m_settings.relay_losses)) {
        lose_relay(*m_relays[pick(m_relays.size())]);
    }
}

void crash_world::inject_worker_faults() {
    if (m_settings.departures > 0 && happens(m_settings.departures)) {
        leave(*m_workers[pick(m_workers.size())]);
    }
    if (m_settings.unhealthy_periods > 0 && happens(m_settings.unhealthy_periods)) {
        auto& target = *m_workers[pick(m_workers.size())];
        target.unhealthy_until = m_now + pick_time(min_fault_time, max_unhealthy_time);
    }
    if (m_settings.one_way_partitions > 0 && happens(m_settings.one_way_partitions)) {
        auto& target = *m_workers[pick(m_workers.size())];
        target.one_way_partition_until = m_now + pick_time(min_fault_time, max_one_way_partition);
    }
}

void crash_world::lose_power() {
    m_has_leader = false;
    m_scheduler.stop_leading();
    m_hub.stop_leading();
    drop_uncommitted_commands();
    for (auto& node : m_relays) {
        lose_relay(*node);
    }
    for (auto& target : m_workers) {
        if (m_settings.restarts_after_power_loss > 0 && is_chosen(m_settings.restarts_after_power_loss)) {
            schedule_call(pick_time(milliseconds{1}, seconds{1}), [this, &target] { crash(*target); });
        }
    }
    fail_runs_after_power_loss();
    schedule_call(pick_time(min_outage, max_outage), [this] {
        if (!m_has_leader) {
            start_leading();
        }
    });
}

void crash_world::fail_runs_after_power_loss() {
    for (auto& target : m_workers) {
        for (const auto& [key, run] : target->running) {
            if (m_settings.failures_after_power_loss > 0 && is_chosen(m_settings.failures_after_power_loss)) {
                schedule_call(pick_time(milliseconds{1}, power_loss_failure_time),
                              [this, &target, key = key, incarnation = target->incarnation] {
                                  if (target->incarnation == incarnation && target->running.contains(key)) {
                                      end_run(*target, key, run_end::failed);
                                  }
                              });
            }
        }
    }
}

void crash_world::leave(worker& target) {
    if (!target.is_up || target.is_draining) {
        return;
    }
    target.is_draining = true;
    target.leaves_at = m_now + drain_time;
    const auto incarnation = target.incarnation;
    schedule_call(drain_time, [this, &target, incarnation] {
        if (target.incarnation != incarnation || !target.is_up) {
            return;
        }
        target.is_refusing = true;
        if (m_has_leader && m_now >= target.partitioned_until && m_now >= target.one_way_partition_until) {
            m_scheduler.on_deregister({target.id, target.process_start_ms}, m_now);
        }
        schedule_call(pick_time(milliseconds{1}, max_refusal_time), [this, &target, incarnation] {
            if (target.incarnation == incarnation && target.is_up) {
                end_incarnation(target);
            }
        });
    });
}

// ---- control instances

/// Drops the commands that are not committed, as a new leader finds only those that a majority stores. With
/// equal probability the batch being committed survives as a whole or is lost; commands queued behind it are
/// lost.
void crash_world::drop_uncommitted_commands() {
    m_queued_commands.clear();
    if (!m_committing_commands.empty() && is_chosen(0.5)) {
        std::vector<job_state_event> events;
        for (const auto& command : m_committing_commands) {
            m_job_state.apply(command, events);
        }
    }
    m_committing_commands.clear();
}

void crash_world::commit() {
    const auto batch = std::exchange(m_committing_commands, {});
    std::vector<job_state_event> events;
    for (const auto& command : batch) {
        m_job_state.apply(command, events);
    }
    for (const auto& event : events) {
        m_scheduler.on_event(event, m_now, m_wall_ms);
    }
}

void crash_world::start_relay(relay& node) {
    ++node.process_number;
    node.agent = std::make_unique<relay_agent>(
        relay_settings{}, node.instance,
        [this, &node](const worker_order& order, const relay_agent::outcome_handler& on_outcome) {
            const auto process_number = node.process_number;
            send_to_worker(order, [this, &node, process_number, on_outcome](const order_outcome& outcome) {
                if (node.process_number != process_number || node.agent == nullptr) {
                    return;
                }
                if (m_now >= node.stalled_until) {
                    on_outcome(outcome);
                    return;
                }
                schedule_call(node.stalled_until - m_now, [&node, process_number, on_outcome, outcome] {
                    if (node.process_number == process_number && node.agent != nullptr) {
                        on_outcome(outcome);
                    }
                });
            });
        });
}

void crash_world::lose_relay(relay& node) {
    if (node.agent == nullptr) {
        return;
    }
    node.agent = nullptr;
    node.stalled_until = {};
    schedule_call(pick_time(milliseconds{1}, max_relay_start), [this, &node] { start_relay(node); });
}

void crash_world::send_frames() {
    std::set<std::uint32_t> addresses;
    for (const auto& node : m_relays) {
        addresses.insert(node->instance.ip);
    }
    for (const auto& frame : m_hub.take_frames(addresses, m_now)) {
        auto& node = *m_relays[frame.ip - 1];
        if (node.agent == nullptr) {
            for (const auto& outcome : m_hub.on_frame_not_sent(frame.ip, *frame.orders)) {
                deliver(outcome);
            }
            continue;
        }
        schedule_call(network_delay,
                      [this, &node, process_number = node.process_number, orders = frame.orders] {
                          receive_orders(node, process_number, orders);
                      });
    }
}

void crash_world::receive_orders(relay& node, std::uint64_t process_number,
                                 const std::shared_ptr<job_wire::relay_orders>& frame) {
    if (node.agent == nullptr || node.process_number != process_number) {
        return; // lost with the process
    }
    if (m_now < node.stalled_until) {
        schedule_call(node.stalled_until - m_now,
                      [this, &node, process_number, frame] { receive_orders(node, process_number, frame); });
        return;
    }
    if (const auto refusal = node.agent->on_orders(*frame, m_now); refusal.has_value()) {
        receive_answers(*refusal);
    }
}

void crash_world::receive_answers(const job_wire::relay_answers& frame) {
    if (!m_has_leader) {
        return;
    }
    for (const auto& outcome : m_hub.on_answers(frame, m_now)) {
        deliver(outcome);
    }
    for (const auto& report : frame.reports()) {
        if (report.is_whole()) {
            m_scheduler.on_heartbeat(decode(report), m_now);
        } else if (!m_scheduler.on_unchanged_report(decode_unchanged_report(report), m_now)) {
            m_hub.request_report(report.worker());
        }
    }
}

void crash_world::send_relay_answers() {
    for (auto& node : m_relays) {
        if (node->agent == nullptr || m_now < node->stalled_until) {
            continue;
        }
        if (const auto answers = node->agent->take_answers(m_now); answers.has_value()) {
            schedule_call(network_delay, [this, frame = *answers] { receive_answers(frame); });
        }
    }
}

void crash_world::start_leading() {
    drop_uncommitted_commands();
    // Saves and reloads the replicated job state, because a new leader may have been restored from a
    // snapshot.
    const auto snapshot = m_job_state.save();
    EXPECT_TRUE(m_job_state.load(snapshot));
    EXPECT_EQ(m_job_state.save(), snapshot);
    m_leader_since = m_now;
    m_has_leader = true;
    m_scheduler.start_leading(++m_term, m_now, m_wall_ms);
    m_hub.start_leading(m_term, {}, m_now);
}

void crash_world::tick_leader() {
    if (!m_has_leader) {
        return;
    }
    for (const auto& lost : m_hub.expire_orders(m_now)) {
        deliver(lost);
    }
    m_scheduler.tick(m_now, m_wall_ms, m_committing_commands.empty());
    auto commands = m_scheduler.take_commands();
    if (m_settings.commit_time == duration{0}) {
        m_committing_commands = std::move(commands);
        commit();
    } else {
        m_queued_commands.insert(m_queued_commands.end(), commands.begin(), commands.end());
        if (m_committing_commands.empty() && !m_queued_commands.empty()) {
            m_committing_commands = std::exchange(m_queued_commands, {});
            schedule_call(pick_time(milliseconds{1}, m_settings.commit_time), [this, term = m_term] {
                if (m_has_leader && term == m_term) {
                    commit();
                }
            });
        }
    }
    for (const auto& order : m_scheduler.take_orders()) {
        send(order);
    }
    send_frames();
    send_relay_answers();
}

// ---- workers

void crash_world::send_heartbeat(worker& target) {
    const bool is_delayed =
        m_settings.delays_heartbeats && m_now < target.partitioned_until && !target.has_delayed_heartbeat;
    const bool is_unreachable =
        m_now < target.partitioned_until || m_now < target.one_way_partition_until || target.is_refusing;
    if (is_unreachable && !is_delayed) {
        return;
    }
    worker_report report;
    report.incarnation = {target.id, target.process_start_ms};
    report.address = target.address;
    report.pool = pool;
    report.rack = "r1";
    report.data_centre = target.data_centre;
    report.is_draining = target.is_draining;
    report.remaining_ms = target.is_draining ? to_milliseconds(target.leaves_at - m_now) : 0;
    report.capacity = target.get_capacity();
    report.sequence = ++target.sequence;
    report.clock_ms = get_clock(target);
    if (is_delayed) {
        target.has_delayed_heartbeat = true;
        schedule_call(target.partitioned_until - m_now, [this, &target, report] {
            target.has_delayed_heartbeat = false;
            m_scheduler.on_heartbeat(report, m_now);
        });
        return;
    }
    if (is_chosen(m_settings.late_heartbeats)) {
        schedule_call(milliseconds{pick(static_cast<std::size_t>(to_milliseconds(max_heartbeat_delay)))},
                      [this, report] { m_scheduler.on_heartbeat(report, m_now); });
        return;
    }
    send_report(report);
}

/// Sends a worker's report to its relay, or to the leader when the relay does not answer in time.
void crash_world::send_report(const worker_report& report) {
    const auto found = std::find_if(m_relays.begin(), m_relays.end(), [&](const auto& node) {
        return node->instance.data_centre == report.data_centre;
    });
    if (found == m_relays.end() || report.is_draining || (*found)->agent == nullptr) {
        m_scheduler.on_heartbeat(report, m_now);
        return;
    }
    auto& node = **found;
    if (m_now < node.stalled_until) {
        schedule_call(node.stalled_until - m_now,
                      [this, &node, process_number = node.process_number, report] {
                          if (node.agent != nullptr && node.process_number == process_number &&
                              node.agent->can_relay(m_now)) {
                              node.agent->on_report(report, m_now);
                          }
                      });
        schedule_call(relay_timeout, [this, report] { m_scheduler.on_heartbeat(report, m_now); });
        return;
    }
    if (node.agent->can_relay(m_now)) {
        node.agent->on_report(report, m_now);
    } else {
        m_scheduler.on_heartbeat(report, m_now);
    }
}

std::int64_t crash_world::get_clock(const worker& target) const {
    const auto passed = static_cast<double>(to_milliseconds(m_now - target.clock_start));
    return first_clock_ms + static_cast<std::int64_t>(passed * target.clock_rate);
}

void crash_world::lapse(worker& target) {
    m_lapsed_runs += static_cast<int>(target.running.size());
    while (!target.running.empty()) {
        end_run(target, target.running.begin()->first, run_end::lease_expired);
    }
    for (const auto& row : target.ended) {
        target.lapsed_ends.insert(row.number);
    }
}

void crash_world::fail_random_run() {
    auto& target = *m_workers[pick(m_workers.size())];
    if (!target.running.empty()) {
        auto chosen = target.running.begin();
        std::advance(chosen, pick(target.running.size()));
        end_run(target, chosen->first, run_end::failed);
    }
}

void crash_world::crash_random_workers(double share) {
    for (auto& target : m_workers) {
        if (is_chosen(share)) {
            crash(*target);
        }
    }
}

void crash_world::partition_random_workers(double share, duration length) {
    for (auto& target : m_workers) {
        if (is_chosen(share)) {
            target->partitioned_until = m_now + length;
        }
    }
}

void crash_world::stop_faults() {
    const auto before = m_settings;
    m_settings = {};
    m_settings.workers = before.workers;
    m_settings.capacity = before.capacity;
    m_settings.enforces_capacity = before.enforces_capacity;
    m_settings.restart_time = before.restart_time;
    m_settings.keeps_ids = before.keeps_ids;
    m_settings.data_centres = before.data_centres;
    m_settings.commit_time = before.commit_time;
    m_settings.clock_drift = before.clock_drift;
    m_settings.stop_time = before.stop_time;
    m_settings.gangs_wait_for_members = before.gangs_wait_for_members;
    m_settings.shuffles_ends = before.shuffles_ends;
}

void crash_world::crash(worker& target) {
    if (!target.is_up) {
        return;
    }
    ++m_crashed;
    for (const auto& [key, run] : target.running) {
        ++m_histories[key.task].crashes;
    }
    end_incarnation(target);
}

void crash_world::end_incarnation(worker& target) {
    target.is_up = false;
    for (const auto& [key, run] : target.running) {
        --m_histories[key.task].running;
        break_gang(key);
    }
    for (const auto& row : target.ended) {
        m_histories[row.run.task].is_done = false; // the unread end is lost with the process
    }
    target.running.clear();
    target.ended.clear();
    target.lapsed_ends.clear();
    if (target.hold.has_value()) { // the connection closes with the process
        complete(target.sent_hold, {order_failure::unanswered, {}});
        target.hold.reset();
    }
    const auto spread = static_cast<std::size_t>(to_milliseconds(m_settings.restart_spread));
    schedule_call(m_settings.restart_time + milliseconds{spread == 0 ? 0 : pick(spread)},
                  [this, &target] { start_incarnation(target); });
}

void crash_world::start_incarnation(worker& target) {
    target.incarnation = ++m_incarnation_count;
    if (target.id.empty() || !m_settings.keeps_ids) {
        target.id = "w" + std::to_string(m_incarnation_count);
    }
    target.process_start_ms = m_settings.keeps_ids ? m_wall_ms + target.clock_offset_ms : 0;
    while (m_settings.keeps_ids && !target.start_times.insert(target.process_start_ms).second) {
        ++target.process_start_ms; // incarnations with equal start times would be the same incarnation
    }
    target.clock_start = m_now;
    target.is_up = true;
    target.is_draining = false;
    target.is_refusing = false;
    if (m_settings.clock_drift > 0) {
        target.clock_rate = 1 - m_settings.clock_drift * static_cast<double>(pick(3)) / 2;
    }
    target.sequence = 0;
    target.fence = 0;
    target.next_end_number = 1;
    target.acknowledged = 0;
    target.lease_ms = 0;
    target.highest_runs.clear();
    target.next_heartbeat = m_now;
    target.capacities = {{m_now, m_settings.capacity}};
}

void crash_world::change_capacity(worker& target) {
    const auto part = static_cast<std::int64_t>(pick(8)); // eighths; a reduced capacity is restored
    const bool is_full = target.get_capacity() == m_settings.capacity;
    auto capacity = m_settings.capacity;
    if (is_full) {
        capacity.millicores = capacity.millicores * part / 8;
        capacity.memory_mb = capacity.memory_mb * part / 8;
    }
    target.capacities.push_back({m_now, capacity});
}

void crash_world::check_capacity(const worker& target) {
    worker_amounts used;
    for (const auto& [key, run] : target.running) {
        used += get_need(run.job->steps[key.task.step.step]);
    }
    for (std::size_t number = 0; number < target.capacities.size(); ++number) {
        const bool is_last = number + 1 == target.capacities.size();
        const bool counts = is_last || target.capacities[number + 1].since + capacity_report_delay > m_now;
        if (counts && target.capacities[number].capacity.holds(used)) {
            return;
        }
    }
    m_violations.push_back("a start brought " + target.id + " over its room");
}

// ---- orders

void crash_world::send(const worker_order& order) {
    const auto key = get_order_key(order);
    if (!key.has_value()) {
        return;
    }
    const auto* state = m_scheduler.find_worker_state(key->worker);
    if (m_settings.data_centres > 0 && state != nullptr &&
        m_hub.add(order, state->report.data_centre, state->worker_hash, m_now)) {
        return;
    }
    send_to_worker(order, [this, key = *key, term = m_term](const order_outcome& outcome) {
        if (m_has_leader && term == m_term) {
            deliver({key, outcome});
        }
    });
}

void crash_world::deliver(const relayed_outcome& item) {
    const auto& order = item.order;
    const order_answer answer{item.outcome.failure, item.outcome.answer.clock_ms};
    if (order.type == relay_order_key::kind::hold) {
        m_scheduler.on_hold(order.worker, item.outcome, m_now);
    } else if (order.type == relay_order_key::kind::start) {
        m_scheduler.on_start(order.run, answer, m_now);
    } else if (order.type == relay_order_key::kind::stop) {
        m_scheduler.on_stop(order.run, order.worker, answer, m_now);
    }
}

void crash_world::send_to_worker(const worker_order& order,
                                 const std::function<void(order_outcome)>& on_outcome) {
    std::visit(
        [&](const auto& item) {
            using order_type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<order_type, hold_order> || std::is_same_v<order_type, start_order> ||
                          std::is_same_v<order_type, stop_order>) {
                const auto found =
                    std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& candidate) {
                        return candidate->address == item.target.address;
                    });
                ASSERT_NE(found, m_workers.end());
                auto& target = **found;
                auto delay = network_delay;
                if (is_chosen(m_settings.late_orders)) {
                    delay += milliseconds{
                        pick(static_cast<std::size_t>(to_milliseconds(m_settings.max_order_delay)))};
                }
                if (m_settings.expired_orders > 0 && is_chosen(m_settings.expired_orders)) {
                    delay += pick_time(item.target.timeout, max_expired_order_delay);
                }
                auto sent = std::make_shared<sent_order>();
                sent->on_outcome = on_outcome;
                schedule_call(delay, [this, item, sent, &target] { receive_order(item, target, sent); });
                if (m_settings.expired_orders > 0 || m_settings.delayed_answers > 0 ||
                    m_settings.one_way_partitions > 0 || m_now < target.one_way_partition_until) {
                    time_out_after(item.target.timeout, sent);
                }
            }
        },
        order);
}

void crash_world::complete(const sent_order_ptr& sent, const order_outcome& outcome) {
    if (!std::exchange(sent->is_completed, true)) {
        sent->on_outcome(outcome);
    }
}

void crash_world::time_out_after(duration wait, const sent_order_ptr& sent) {
    schedule_call(wait, [sent] { complete(sent, {order_failure::unanswered, {}}); });
}

void crash_world::send_answer(worker& target, const sent_order_ptr& sent, const order_outcome& outcome) {
    if (m_now < target.one_way_partition_until) {
        return; // the sender's timeout completes the order
    }
    if (m_settings.broken_connections > 0 && is_chosen(m_settings.broken_connections)) {
        complete(sent, {order_failure::unanswered, {}});
        return;
    }
    if (m_settings.delayed_answers > 0 && is_chosen(m_settings.delayed_answers)) {
        schedule_call(pick_time(milliseconds{1}, m_settings.max_answer_delay),
                      [sent, outcome] { complete(sent, outcome); });
        return;
    }
    complete(sent, outcome);
}

order_outcome crash_world::make_outcome(const worker& target, std::optional<order_failure> failure) const {
    order_outcome outcome{failure, {}};
    if (m_settings.data_centres > 0) {
        outcome.answer.clock_ms = get_clock(target);
    }
    return outcome;
}

template <class Order>
void crash_world::receive_order(const Order& order, worker& target, const sent_order_ptr& sent) {
    const bool is_partitioned = m_now < target.partitioned_until;
    if (is_partitioned && !m_settings.partitions_refuse_calls) {
        time_out_after(order.target.timeout, sent);
    } else if (is_partitioned || !target.is_up || target.is_refusing) {
        complete(sent, {order_failure::unreachable, {}});
    } else if (target.id != order.target.worker.id) {
        send_answer(target, sent, {order_failure::other_incarnation, {}});
    } else if (m_now < target.unhealthy_until) {
        send_answer(target, sent, {order_failure::unhealthy, {}});
    } else if (order.target.fence < target.fence) {
        send_answer(target, sent, {order_failure::lower_fence, {}});
    } else {
        target.fence = order.target.fence;
        execute(order, target, sent);
    }
}

void crash_world::execute(const hold_order& order, worker& target, const sent_order_ptr& sent) {
    target.lease_ms =
        std::max(target.lease_ms, std::min(order.lease_end_ms.value_or(0), get_clock(target) + max_lease_ms));
    if (order.target.worker.process_start_ms ==
        target.process_start_ms) { // it is valid only for the incarnation it names
        acknowledge(target, order.acknowledged_up_to);
    }
    if (target.hold.has_value()) {
        answer_hold(target); // every hold gets an answer
    }
    target.hold = order;
    target.sent_hold = sent;
    const auto number = ++target.hold_number;
    if (!target.ended.empty() || order.wait == duration{0}) {
        answer_hold(target);
        return;
    }
    schedule_call(order.wait, [this, &target, number] {
        if (target.hold.has_value() && target.hold_number == number) {
            answer_hold(target);
        }
    });
}

void crash_world::acknowledge(worker& target, std::uint64_t number) {
    target.acknowledged = std::max(target.acknowledged, number);
    for (const auto& row : target.ended) {
        if (row.number > number || row.end != run_end::done || target.lapsed_ends.contains(row.number)) {
            continue;
        }
        auto& history = m_histories[row.run.task];
        history.is_acknowledged = true;
        if (history.is_started_since) {
            m_violations.push_back("an end on " + target.id +
                                   " was acknowledged after its task was started again");
        }
    }
    std::erase_if(target.ended, [&](const run_end_entry& row) { return row.number <= number; });
}

void crash_world::answer_hold(worker& target) {
    const auto order = *target.hold;
    const auto sent = target.sent_hold;
    target.hold.reset();
    if (m_now < target.partitioned_until) {
        time_out_after(order.target.timeout, sent);
        return;
    }
    send_answer(target, sent, {std::nullopt, make_list(target)});
}

hold_answer crash_world::make_list(const worker& target) {
    hold_answer answer;
    answer.clock_ms = get_clock(target);
    answer.process_start_ms = target.process_start_ms;
    for (const auto& [key, run] : target.running) {
        answer.running.push_back({key, "", 50, 0});
    }
    answer.ended = target.ended;
    if (m_settings.shuffles_ends) {
        std::shuffle(answer.ended.begin(), answer.ended.end(), m_random);
    }
    return answer;
}

void crash_world::execute(const start_order& order, worker& target, const sent_order_ptr& sent) {
    const auto failure = start_run(order, target);
    if (is_chosen(m_settings.lost_answers)) {
        time_out_after(order.target.timeout, sent);
        return;
    }
    send_answer(target, sent, make_outcome(target, failure));
}

std::optional<order_failure> crash_world::start_run(const start_order& order, worker& target) {
    const auto& key = order.run;
    if (order.lease_end_ms < get_clock(target)) {
        ++m_late_leases;
        return order_failure::lease_already_expired;
    }
    target.lease_ms =
        std::max(target.lease_ms, std::min(order.lease_end_ms, get_clock(target) + max_lease_ms));
    if (target.running.contains(key)) {
        return std::nullopt;
    }
    const auto other = std::find_if(target.running.begin(), target.running.end(),
                                    [&](const auto& item) { return item.first.task == key.task; });
    if (key.run <= target.highest_runs[key.task] || other != target.running.end()) {
        return order_failure::stale_run;
    }
    const auto& job = m_jobs.at(key.task.step.job);
    const auto& spec = job->steps[key.task.step.step];
    if (m_settings.enforces_capacity) {
        auto free = target.get_capacity();
        for (const auto& [running, run] : target.running) {
            free -= get_need(run.job->steps[running.task.step.step]);
        }
        if (!free.holds(get_need(spec))) {
            return order_failure::no_capacity;
        }
    }
    auto& history = m_histories[key.task];
    history.starts_after_three_crashes +=
        history.crashes >= 3 && m_now - m_leader_since >= takeover_time ? 1 : 0;
    if (history.running++ > 0 && !spec.speculative) {
        m_violations.push_back("two runs of a task at a time, the second on " + target.id);
    }
    if (!spec.speculative) {
        record_start(key.task, target);
    }
    target.running[key] = {job, m_now, false};
    if (!m_settings.enforces_capacity) {
        check_capacity(target);
    }
    const auto incarnation = target.incarnation;
    if (m_crashing_tasks.contains(key.task)) {
        schedule_call(m_settings.crash_after, [this, &target, key, incarnation] {
            if (target.incarnation == incarnation && target.running.contains(key)) {
                crash(target);
            }
        });
        return std::nullopt;
    }
    if (spec.gang && m_settings.gangs_wait_for_members) {
        start_gang(key);
        return std::nullopt;
    }
    if (!spec.long_running) {
        schedule_call(m_lengths.at(key.task.step.job), [this, &target, key, incarnation] {
            if (target.incarnation == incarnation && target.running.contains(key)) {
                end_run(target, key, run_end::done);
            }
        });
    }
    return std::nullopt;
}

void crash_world::start_gang(const run_key& member) {
    const auto& job = m_jobs.at(member.task.step.job);
    const auto count = job->steps[member.task.step.step].count;
    if (find_members(member).size() < count) {
        schedule_call(gang_timeout, [this, member, count] {
            for (const auto& [host, key] : find_members(member)) {
                if (key == member && find_members(member).size() < count) {
                    end_run(*host, key, run_end::gang_timeout);
                }
            }
        });
        return;
    }
    schedule_call(m_lengths.at(member.task.step.job), [this, member, count] {
        const auto members = find_members(member);
        for (const auto& [host, key] : members) {
            if (members.size() == count) {
                end_run(*host, key, run_end::done);
            }
        }
    });
}

std::vector<std::pair<crash_world::worker*, run_key>> crash_world::find_members(const run_key& member) const {
    std::vector<std::pair<worker*, run_key>> members;
    for (const auto& target : m_workers) {
        for (const auto& [key, run] : target->running) {
            if (key.task.step == member.task.step && key.run == member.run) {
                members.emplace_back(target.get(), key);
            }
        }
    }
    return members;
}

void crash_world::break_gang(const run_key& member) {
    const auto& spec = m_jobs.at(member.task.step.job)->steps[member.task.step.step];
    if (!m_settings.gangs_wait_for_members || !spec.gang) {
        return;
    }
    schedule_call(gang_break_delay, [this, member] {
        for (const auto& [host, key] : find_members(member)) {
            end_run(*host, key, run_end::gang_broken);
        }
    });
}

void crash_world::record_start(const task_key& task, const worker& target) {
    auto& history = m_histories[task];
    history.is_started_since = history.is_done;
    if (history.is_acknowledged) {
        m_violations.push_back("a start on " + target.id + " after an end that was acknowledged as done");
    }
    const auto* record = m_job_state.find_task(task);
    if (record != nullptr && record->phase == task_phase::done) {
        m_violations.push_back("a start on " + target.id + " after an end that was committed as done");
    }
}

void crash_world::execute(const stop_order& order, worker& target, const sent_order_ptr& sent) {
    auto& highest_runs = target.highest_runs[order.run.task];
    highest_runs = std::max(highest_runs, order.run.run);
    const auto incarnation = target.incarnation;
    if (const auto found = target.running.find(order.run);
        found != target.running.end() && !found->second.is_stopping) {
        found->second.is_stopping = true;
        schedule_call(m_settings.stop_time, [this, &target, key = order.run, incarnation] {
            if (target.incarnation == incarnation && target.running.contains(key)) {
                end_run(target, key, run_end::stopped);
            }
        });
    }
    send_answer(target, sent, make_outcome(target, std::nullopt));
}

void crash_world::end_run(worker& target, const run_key& key, run_end how) {
    const auto ended = key;
    target.running.erase(ended);
    --m_histories[ended.task].running;
    m_histories[ended.task].failures += how == run_end::failed ? 1 : 0;
    if (how == run_end::done) {
        ++m_done_runs;
        m_histories[ended.task].is_done = true;
        m_histories[ended.task].is_started_since = false;
    }
    if (how != run_end::done && how != run_end::gang_broken) {
        break_gang(ended);
    }
    auto& highest_runs = target.highest_runs[ended.task];
    highest_runs = std::max(highest_runs, ended.run);
    target.ended.push_back({target.next_end_number++, ended, how, ""});
    if (target.ended.back().number <= target.acknowledged) {
        acknowledge(target, target.acknowledged);
    } else if (target.hold.has_value()) {
        answer_hold(target);
    }
}

// ---- observations

bool crash_world::is_sound(const worker& target) const {
    return target.is_up && !target.is_draining && !target.is_refusing && m_now >= target.partitioned_until &&
           m_now >= target.one_way_partition_until && m_now >= target.unhealthy_until;
}

bool crash_world::is_any_disrupted() const {
    return !m_has_leader || std::any_of(m_workers.begin(), m_workers.end(), [this](const auto& target) {
        return !is_sound(*target);
    }) || std::any_of(m_relays.begin(), m_relays.end(), [this](const auto& node) {
        return node->agent == nullptr || m_now < node->stalled_until;
    });
}

std::vector<watched_worker> crash_world::watch_workers(std::vector<worker_report>& reports) const {
    std::vector<watched_worker> workers;
    reports.resize(m_workers.size());
    for (std::size_t number = 0; number < m_workers.size(); ++number) {
        const auto& target = *m_workers[number];
        if (!target.is_up) {
            continue;
        }
        reports[number].capacity = target.get_capacity();
        reports[number].is_draining = target.is_draining;
        watched_worker worker{&reports[number], true, is_sound(target), {}};
        for (const auto& [key, run] : target.running) {
            worker.runs.push_back({key.task, &run.job->steps[key.task.step.step]});
        }
        workers.push_back(std::move(worker));
    }
    return workers;
}

void crash_world::observe_jobs() {
    if (is_any_disrupted()) {
        m_idle_watch->record_disruption(m_now);
    }
    std::set<task_key> done;
    for (const auto& target : m_workers) {
        for (const auto& row : target->ended) {
            if (target->is_up && row.end == run_end::done) {
                done.insert(row.run.task);
            }
        }
    }
    std::vector<worker_report> reports;
    m_idle_watch->observe(watch_workers(reports), find_due_steps(m_job_state, m_open_jobs, done), m_now);
}

int crash_world::count_running(job_id id) const {
    int running = 0;
    for (const auto& target : m_workers) {
        running += static_cast<int>(
            std::count_if(target->running.begin(), target->running.end(),
                          [id](const auto& item) { return item.first.task.step.job == id; }));
    }
    return running;
}

int crash_world::count_crashes(const task_key& task) const {
    const auto found = m_histories.find(task);
    return found == m_histories.end() ? 0 : found->second.crashes;
}

int crash_world::get_max_crashes(job_id id) const {
    int most = 0;
    for (const auto& [task, history] : m_histories) {
        most = std::max(most, task.step.job == id ? history.crashes : 0);
    }
    return most;
}

int crash_world::get_max_failures(job_id id) const {
    int most = 0;
    for (const auto& [task, history] : m_histories) {
        most = std::max(most, task.step.job == id ? history.failures : 0);
    }
    return most;
}

int crash_world::count_starts_after_three_crashes(const task_key& task) const {
    const auto found = m_histories.find(task);
    return found == m_histories.end() ? 0 : found->second.starts_after_three_crashes;
}

} // namespace poplarpitch
