#include "unit_tests/dispatch/crash_world.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace poplarpitch {
namespace {

constexpr duration tick = milliseconds{10};
constexpr duration beat_interval = milliseconds{1100};
constexpr duration network_delay = milliseconds{2};
constexpr duration stop_time = milliseconds{100};
constexpr duration contact_time = seconds{3};       // after which a leader's faults are its own
constexpr duration room_slack = milliseconds{4100}; // shrunk room counts 3 s and one beat later
constexpr const char* pool = "mill";

struct pretended_run {
    std::shared_ptr<const step_job> job;
    time_point started{};
    bool is_stopping = false;
};

struct told_room {
    time_point since{};
    worker_amounts room;
};

} // namespace

/// One machine and the life that it is at.
struct crash_world::worker {
    std::string address;
    std::string id;
    bool is_up = false;
    time_point cut_until{};
    time_point next_beat{};
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::uint64_t next_number = 1;
    std::int64_t lease_ms = 0;
    std::map<run_key, pretended_run> running;
    std::map<task_key, std::uint32_t> highest; ///< runs up to this are refused
    std::vector<end_row> ended;
    std::optional<hold_order> hold;
    log_term hold_term = 0;
    std::uint64_t hold_number = 0; ///< of the hold that waits, so that its time does not end a later one
    std::vector<told_room> rooms;  ///< that it had, the newest last

    [[nodiscard]] const worker_amounts& get_room() const { return rooms.back().room; }
};

crash_world::crash_world(const crash_world_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_scheduler(dispatch_settings{}, m_book) {
    configure();
    lead();
    for (int number = 1; number <= settings.workers; ++number) {
        auto target = std::make_unique<worker>();
        target->address = "10.0.0." + std::to_string(number) + ":80";
        m_workers.push_back(std::move(target));
        revive(*m_workers.back());
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
    configuration.pools.push_back({pool, m_settings.guards_room, false, 64});
    job_wire::job_command command;
    encode(configuration, *command.mutable_config());
    std::vector<book_event> events;
    m_book.apply(command, events);
}

void crash_world::call_after(duration wait, std::function<void()> call) {
    m_calls.push({m_now + wait, m_next_call++, std::move(call)});
}

job_id crash_world::submit(const std::vector<step_spec>& steps, duration length) {
    step_job job;
    job.id = m_next_job++;
    job.steps = steps;
    job.queue.name = "queue";
    job.queue.pool = pool;
    job.queue.max_attempts = 3;
    job.queue.stretch = 2;
    job.queue.target_latency = seconds{1};
    job.accepted_ms = m_wall_ms;
    m_lengths[job.id] = length;
    job_wire::job_command command;
    encode(job, *command.mutable_submit()->mutable_job());
    std::vector<book_event> events;
    m_book.apply(command, events);
    for (const auto& event : events) {
        m_scheduler.on_event(event, m_now, m_wall_ms);
    }
    return job.id;
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
    befall();
    while (!m_calls.empty() && m_calls.top().when <= m_now) {
        const auto call = m_calls.top().call;
        m_calls.pop();
        call();
        settle();
    }
    for (auto& target : m_workers) {
        if (target->is_up && m_now >= target->next_beat) {
            target->next_beat = m_now + beat_interval;
            beat(*target);
        }
        const bool has_lapsed = to_milliseconds(m_now.time_since_epoch()) > target->lease_ms;
        while (target->is_up && has_lapsed && !target->running.empty()) {
            end(*target, target->running.begin()->first, run_end::lapsed);
        }
    }
    settle();
}

void crash_world::befall() {
    if (happens(m_settings.worker_crashes)) {
        crash(*m_workers[pick(m_workers.size())]);
    }
    if (happens(m_settings.worker_cuts)) {
        m_workers[pick(m_workers.size())]->cut_until = m_now + milliseconds{1000 + pick(9000)};
    }
    if (happens(m_settings.leader_losses)) {
        lead();
    }
    if (happens(m_settings.room_changes)) {
        change_room(*m_workers[pick(m_workers.size())]);
    }
}

void crash_world::lead() {
    // What the book holds goes through a snapshot: a new leader may have been restored from one.
    const auto snapshot = m_book.save();
    EXPECT_TRUE(m_book.load(snapshot));
    EXPECT_EQ(m_book.save(), snapshot);
    m_led_at = m_now;
    m_scheduler.lead(++m_term, m_now, m_wall_ms);
}

void crash_world::settle() {
    m_scheduler.tick(m_now, m_wall_ms);
    for (const auto& command : m_scheduler.take_commands()) {
        std::vector<book_event> events;
        m_book.apply(command, events);
        for (const auto& event : events) {
            m_scheduler.on_event(event, m_now, m_wall_ms);
        }
    }
    for (const auto& order : m_scheduler.take_orders()) {
        send(order);
    }
}

// ---- workers

void crash_world::beat(worker& target) {
    if (m_now < target.cut_until) {
        return;
    }
    worker_report report;
    report.id = target.id;
    report.address = target.address;
    report.pool = pool;
    report.rack = "r1";
    report.capacity = target.get_room();
    report.sequence = ++target.sequence;
    report.clock_ms = to_milliseconds(m_now.time_since_epoch());
    m_scheduler.on_heartbeat(report, m_now);
}

void crash_world::crash(worker& target) {
    if (!target.is_up) {
        return;
    }
    ++m_crashed;
    target.is_up = false;
    for (const auto& [key, run] : target.running) {
        ++m_stories[key.task].crashes;
        --m_stories[key.task].running;
    }
    target.running.clear();
    target.ended.clear();
    if (target.hold.has_value()) { // the connection ends with the process
        fail(*target.hold, order_failure::unanswered, target.hold_term);
        target.hold.reset();
    }
    call_after(m_settings.restart_time, [this, &target] { revive(target); });
}

void crash_world::revive(worker& target) {
    target.id = "w" + std::to_string(++m_lives);
    target.is_up = true;
    target.sequence = 0;
    target.fence = 0;
    target.next_number = 1;
    target.lease_ms = 0;
    target.highest.clear();
    target.next_beat = m_now;
    target.rooms = {{m_now, m_settings.capacity}};
}

void crash_world::change_room(worker& target) {
    const auto part = static_cast<std::int64_t>(pick(8)); // eighths; of a shrunk one all of it again
    const bool is_whole = target.get_room() == m_settings.capacity;
    auto room = m_settings.capacity;
    if (is_whole) {
        room.millicores = room.millicores * part / 8;
        room.memory_mb = room.memory_mb * part / 8;
    }
    target.rooms.push_back({m_now, room});
}

void crash_world::check_room(const worker& target) {
    worker_amounts used;
    for (const auto& [key, run] : target.running) {
        used += get_need(run.job->steps[key.task.step.step]);
    }
    for (std::size_t number = 0; number < target.rooms.size(); ++number) {
        const bool is_last = number + 1 == target.rooms.size();
        const bool counts = is_last || target.rooms[number + 1].since + room_slack > m_now;
        if (counts && target.rooms[number].room.holds(used)) {
            return;
        }
    }
    m_violations.push_back("a start brought " + target.id + " over its room");
}

// ---- orders

void crash_world::send(const worker_order& order) {
    std::visit(
        [this](const auto& item) {
            using order_type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<order_type, hold_order> || std::is_same_v<order_type, start_order> ||
                          std::is_same_v<order_type, stop_order>) {
                const auto term = m_term;
                const auto found =
                    std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& candidate) {
                        return candidate->address == item.target.address;
                    });
                ASSERT_NE(found, m_workers.end());
                auto& target = **found;
                call_after(network_delay, [this, item, term, &target] {
                    if (m_now < target.cut_until) {
                        call_after(item.target.timeout,
                                   [this, item, term] { fail(item, order_failure::unanswered, term); });
                    } else if (!target.is_up) {
                        fail(item, order_failure::unreachable, term);
                    } else if (target.id != item.target.worker) {
                        fail(item, order_failure::other_life, term);
                    } else if (item.target.fence < target.fence) {
                        fail(item, order_failure::lower_fence, term);
                    } else {
                        target.fence = item.target.fence;
                        carry_out(item, target, term);
                    }
                });
            }
        },
        order);
}

template <class Order>
void crash_world::fail(const Order& order, order_failure failure, log_term term) {
    reply(order, failure, term);
}

template <class Order>
void crash_world::reply(const Order& order, std::optional<order_failure> failure, log_term term) {
    if (term != m_term) {
        return; // the leader that asked is gone
    }
    const order_answer answer{failure, to_milliseconds(m_now.time_since_epoch())};
    if constexpr (std::is_same_v<Order, hold_order>) {
        m_scheduler.on_hold(order.target.worker, {failure, {}}, m_now);
    } else if constexpr (std::is_same_v<Order, start_order>) {
        m_scheduler.on_start(order.run, answer, m_now);
    } else {
        m_scheduler.on_stop(order.run, order.target.worker, answer, m_now);
    }
}

void crash_world::carry_out(const hold_order& order, worker& target, log_term term) {
    target.lease_ms = std::max(target.lease_ms, order.until_ms.value_or(0));
    std::erase_if(target.ended, [&](const end_row& row) { return row.number <= order.acknowledged; });
    target.hold = order;
    target.hold_term = term;
    const auto number = ++target.hold_number;
    if (!target.ended.empty() || order.wait == duration{0}) {
        answer_hold(target);
        return;
    }
    call_after(order.wait, [this, &target, number] {
        if (target.hold.has_value() && target.hold_number == number) {
            answer_hold(target);
        }
    });
}

void crash_world::answer_hold(worker& target) {
    const auto order = *target.hold;
    const auto term = target.hold_term;
    target.hold.reset();
    if (m_now < target.cut_until) {
        call_after(order.target.timeout,
                   [this, order, term] { fail(order, order_failure::unanswered, term); });
        return;
    }
    if (term == m_term) {
        m_scheduler.on_hold(order.target.worker, {std::nullopt, list(target)}, m_now);
    }
}

hold_answer crash_world::list(const worker& target) const {
    hold_answer answer;
    answer.clock_ms = to_milliseconds(m_now.time_since_epoch());
    for (const auto& [key, run] : target.running) {
        answer.running.push_back({key, "", 50, 0});
    }
    answer.ended = target.ended;
    return answer;
}

void crash_world::carry_out(const start_order& order, worker& target, log_term term) {
    const auto failure = start(order, target);
    const bool is_lost = static_cast<double>(m_random() % 1000) < m_settings.lost_answers * 1000;
    if (is_lost) {
        call_after(order.target.timeout,
                   [this, order, term] { fail(order, order_failure::unanswered, term); });
        return;
    }
    reply(order, failure, term);
}

std::optional<order_failure> crash_world::start(const start_order& order, worker& target) {
    const auto& key = order.run;
    target.lease_ms = std::max(target.lease_ms, order.until_ms);
    if (target.running.contains(key)) {
        return std::nullopt;
    }
    const auto other = std::find_if(target.running.begin(), target.running.end(),
                                    [&](const auto& item) { return item.first.task == key.task; });
    if (key.run <= target.highest[key.task] || other != target.running.end()) {
        return order_failure::old_run;
    }
    const auto& spec = order.job->steps[key.task.step.step];
    if (m_settings.guards_room) {
        auto free = target.get_room();
        for (const auto& [running, run] : target.running) {
            free -= get_need(run.job->steps[running.task.step.step]);
        }
        if (!free.holds(get_need(spec))) {
            return order_failure::no_room;
        }
    }
    auto& story = m_stories[key.task];
    story.starts_after_three += story.crashes >= 3 && m_now - m_led_at >= contact_time ? 1 : 0;
    if (story.running++ > 0 && !spec.speculative) {
        m_violations.push_back("two runs of a task at a time, the second on " + target.id);
    }
    target.running[key] = {order.job, m_now, false};
    if (!m_settings.guards_room) {
        check_room(target);
    }
    const auto life = target.id;
    if (m_killers.contains(key.task)) {
        call_after(m_settings.crash_after, [this, &target, key, life] {
            if (target.id == life && target.running.contains(key)) {
                crash(target);
            }
        });
        return std::nullopt;
    }
    if (!spec.long_running) {
        call_after(m_lengths.at(key.task.step.job), [this, &target, key, life] {
            if (target.id == life && target.running.contains(key)) {
                end(target, key, run_end::done);
            }
        });
    }
    return std::nullopt;
}

void crash_world::carry_out(const stop_order& order, worker& target, log_term term) {
    auto& highest = target.highest[order.run.task];
    highest = std::max(highest, order.run.run);
    const auto life = target.id;
    if (const auto found = target.running.find(order.run);
        found != target.running.end() && !found->second.is_stopping) {
        found->second.is_stopping = true;
        call_after(stop_time, [this, &target, key = order.run, life] {
            if (target.id == life && target.running.contains(key)) {
                end(target, key, run_end::stopped);
            }
        });
    }
    reply(order, std::nullopt, term);
}

void crash_world::end(worker& target, const run_key& key, run_end how) {
    const auto ended = key;
    target.running.erase(ended);
    --m_stories[ended.task].running;
    m_done += how == run_end::done ? 1 : 0;
    auto& highest = target.highest[ended.task];
    highest = std::max(highest, ended.run);
    target.ended.push_back({target.next_number++, ended, how, ""});
    if (target.hold.has_value()) {
        answer_hold(target);
    }
}

// ---- what was seen

int crash_world::count_crashes(const task_key& task) const {
    const auto found = m_stories.find(task);
    return found == m_stories.end() ? 0 : found->second.crashes;
}

int crash_world::count_starts_after_three(const task_key& task) const {
    const auto found = m_stories.find(task);
    return found == m_stories.end() ? 0 : found->second.starts_after_three;
}

} // namespace poplarpitch
