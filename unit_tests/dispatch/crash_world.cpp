#include "unit_tests/dispatch/crash_world.h"

#include "poplarpitch/dispatch/placement.h"
#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace poplarpitch {
namespace {

constexpr std::uint64_t usual_seeds = 30; // a few seconds in all
constexpr duration tick = milliseconds{10};
constexpr duration beat_interval = milliseconds{1100};
constexpr duration network_delay = milliseconds{2};
constexpr duration stop_time = milliseconds{100};
constexpr duration contact_time = seconds{3};       // after which a leader's faults are its own
constexpr duration room_slack = milliseconds{4100}; // shrunk room counts 3 s and one beat later
constexpr std::int64_t longest_lease_ms = 10'000;   // a worker shortens a longer one
constexpr std::int64_t longest_step_ms = 60'000;
constexpr std::int64_t first_clock_ms = 1;
constexpr duration late_beat = seconds{4}; // a heartbeat that was held up comes within this
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

std::uint64_t get_seed_count() {
    const char* text = std::getenv("POPLARPITCH_SEEDS");
    return text == nullptr ? usual_seeds : std::strtoull(text, nullptr, 10);
}

/// One machine and the life that it is at.
struct crash_world::worker {
    std::string address;
    std::string id;
    int life = 0;                  ///< of all lives in the world
    std::int64_t born_ms = 0;      ///< what this life takes for the time of its start
    std::set<std::int64_t> births; ///< start times of all its lives
    time_point clock_start{};      ///< the worker's clock counts from its start
    std::int64_t stepped_ms = 0;   ///< by how much its time of day is off
    bool is_up = false;
    time_point cut_until{};
    time_point next_beat{};
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::uint64_t next_number = 1;
    std::uint64_t acknowledged = 0; ///< ends up to this number are forgotten, also those that come later
    std::int64_t lease_ms = 0;
    std::map<run_key, pretended_run> running;
    std::map<task_key, std::uint32_t> highest; ///< runs up to this are refused
    std::vector<end_row> ended;
    std::set<std::uint64_t>
        lapsed; ///< numbers of ends after which its lease ran out: their outcome may be unknown
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
        if (target->is_up && get_clock(*target) > target->lease_ms) {
            lapse(*target);
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
    if (happens(m_settings.clock_steps)) {
        m_workers[pick(m_workers.size())]->stepped_ms -= static_cast<std::int64_t>(pick(longest_step_ms));
    }
    if (happens(m_settings.failures)) {
        fail_some_run();
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
    report.life = {target.id, target.born_ms};
    report.address = target.address;
    report.pool = pool;
    report.rack = "r1";
    report.capacity = target.get_room();
    report.sequence = ++target.sequence;
    report.clock_ms = get_clock(target);
    if (is_chosen(m_settings.late_beats)) {
        call_after(milliseconds{pick(static_cast<std::size_t>(to_milliseconds(late_beat)))},
                   [this, report] { m_scheduler.on_heartbeat(report, m_now); });
        return;
    }
    m_scheduler.on_heartbeat(report, m_now);
}

std::int64_t crash_world::get_clock(const worker& target) const {
    return first_clock_ms + to_milliseconds(m_now - target.clock_start);
}

void crash_world::lapse(worker& target) {
    while (!target.running.empty()) {
        end(target, target.running.begin()->first, run_end::lapsed);
    }
    for (const auto& row : target.ended) {
        target.lapsed.insert(row.number);
    }
}

void crash_world::fail_some_run() {
    auto& target = *m_workers[pick(m_workers.size())];
    if (!target.running.empty()) {
        auto chosen = target.running.begin();
        std::advance(chosen, pick(target.running.size()));
        end(target, chosen->first, run_end::failed);
    }
}

void crash_world::crash_some(double share) {
    for (auto& target : m_workers) {
        if (is_chosen(share)) {
            crash(*target);
        }
    }
}

void crash_world::calm_down() {
    const auto before = m_settings;
    m_settings = {};
    m_settings.workers = before.workers;
    m_settings.capacity = before.capacity;
    m_settings.guards_room = before.guards_room;
    m_settings.restart_time = before.restart_time;
    m_settings.keeps_ids = before.keeps_ids;
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
    for (const auto& row : target.ended) {
        m_stories[row.run.task].is_done = false; // nobody will learn of it
    }
    target.running.clear();
    target.ended.clear();
    target.lapsed.clear();
    if (target.hold.has_value()) { // the connection ends with the process
        fail(*target.hold, order_failure::unanswered, target.hold_term);
        target.hold.reset();
    }
    const auto spread = static_cast<std::size_t>(to_milliseconds(m_settings.restart_spread));
    call_after(m_settings.restart_time + milliseconds{spread == 0 ? 0 : pick(spread)},
               [this, &target] { revive(target); });
}

void crash_world::revive(worker& target) {
    target.life = ++m_lives;
    if (target.id.empty() || !m_settings.keeps_ids) {
        target.id = "w" + std::to_string(m_lives);
    }
    target.born_ms = m_settings.keeps_ids ? m_wall_ms + target.stepped_ms : 0;
    while (m_settings.keeps_ids && !target.births.insert(target.born_ms).second) {
        ++target.born_ms; // equal times mean the same life
    }
    target.clock_start = m_now;
    target.is_up = true;
    target.sequence = 0;
    target.fence = 0;
    target.next_number = 1;
    target.acknowledged = 0;
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
                auto delay = network_delay;
                if (is_chosen(m_settings.late_orders)) {
                    delay +=
                        milliseconds{pick(static_cast<std::size_t>(to_milliseconds(m_settings.lateness)))};
                }
                call_after(delay, [this, item, term, &target] { arrive(item, target, term); });
            }
        },
        order);
}

template <class Order>
void crash_world::arrive(const Order& order, worker& target, log_term term) {
    if (m_now < target.cut_until) {
        call_after(order.target.timeout,
                   [this, order, term] { fail(order, order_failure::unanswered, term); });
    } else if (!target.is_up) {
        fail(order, order_failure::unreachable, term);
    } else if (target.id != order.target.worker.id) {
        fail(order, order_failure::other_life, term);
    } else if (order.target.fence < target.fence) {
        fail(order, order_failure::lower_fence, term);
    } else {
        target.fence = order.target.fence;
        carry_out(order, target, term);
    }
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
    const order_answer answer{failure, 0};
    if constexpr (std::is_same_v<Order, hold_order>) {
        m_scheduler.on_hold(order.target.worker, {failure, {}}, m_now);
    } else if constexpr (std::is_same_v<Order, start_order>) {
        m_scheduler.on_start(order.run, answer, m_now);
    } else {
        m_scheduler.on_stop(order.run, order.target.worker, answer, m_now);
    }
}

void crash_world::carry_out(const hold_order& order, worker& target, log_term term) {
    target.lease_ms =
        std::max(target.lease_ms, std::min(order.until_ms.value_or(0), get_clock(target) + longest_lease_ms));
    if (order.target.worker.born_ms == target.born_ms) { // the link lets no other life hear of it
        acknowledge(target, order.acknowledged);
    }
    if (target.hold.has_value()) {
        answer_hold(target); // each call has its answer
    }
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

void crash_world::acknowledge(worker& target, std::uint64_t number) {
    target.acknowledged = std::max(target.acknowledged, number);
    for (const auto& row : target.ended) {
        if (row.number > number || row.end != run_end::done || target.lapsed.contains(row.number)) {
            continue;
        }
        auto& story = m_stories[row.run.task];
        story.is_acknowledged = true;
        if (story.is_started_since) {
            m_violations.push_back("an end on " + target.id +
                                   " was acknowledged after its task was started again");
        }
    }
    std::erase_if(target.ended, [&](const end_row& row) { return row.number <= number; });
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
    answer.clock_ms = get_clock(target);
    answer.born_ms = target.born_ms;
    for (const auto& [key, run] : target.running) {
        answer.running.push_back({key, "", 50, 0});
    }
    answer.ended = target.ended;
    return answer;
}

void crash_world::carry_out(const start_order& order, worker& target, log_term term) {
    const auto failure = start(order, target);
    if (is_chosen(m_settings.lost_answers)) {
        call_after(order.target.timeout,
                   [this, order, term] { fail(order, order_failure::unanswered, term); });
        return;
    }
    reply(order, failure, term);
}

std::optional<order_failure> crash_world::start(const start_order& order, worker& target) {
    const auto& key = order.run;
    if (order.until_ms < get_clock(target)) {
        return order_failure::late_lease;
    }
    target.lease_ms =
        std::max(target.lease_ms, std::min(order.until_ms, get_clock(target) + longest_lease_ms));
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
    if (!spec.speculative) {
        note_start(key.task, target);
    }
    target.running[key] = {order.job, m_now, false};
    if (!m_settings.guards_room) {
        check_room(target);
    }
    const auto life = target.life;
    if (m_killers.contains(key.task)) {
        call_after(m_settings.crash_after, [this, &target, key, life] {
            if (target.life == life && target.running.contains(key)) {
                crash(target);
            }
        });
        return std::nullopt;
    }
    if (!spec.long_running) {
        call_after(m_lengths.at(key.task.step.job), [this, &target, key, life] {
            if (target.life == life && target.running.contains(key)) {
                end(target, key, run_end::done);
            }
        });
    }
    return std::nullopt;
}

void crash_world::note_start(const task_key& task, const worker& target) {
    auto& story = m_stories[task];
    story.is_started_since = story.is_done;
    if (story.is_acknowledged) {
        m_violations.push_back("a start on " + target.id + " after an end that was acknowledged as done");
    }
}

void crash_world::carry_out(const stop_order& order, worker& target, log_term term) {
    auto& highest = target.highest[order.run.task];
    highest = std::max(highest, order.run.run);
    const auto life = target.life;
    if (const auto found = target.running.find(order.run);
        found != target.running.end() && !found->second.is_stopping) {
        found->second.is_stopping = true;
        call_after(stop_time, [this, &target, key = order.run, life] {
            if (target.life == life && target.running.contains(key)) {
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
    if (how == run_end::done) {
        ++m_done;
        m_stories[ended.task].is_done = true;
        m_stories[ended.task].is_started_since = false;
    }
    auto& highest = target.highest[ended.task];
    highest = std::max(highest, ended.run);
    target.ended.push_back({target.next_number++, ended, how, ""});
    if (target.ended.back().number <= target.acknowledged) {
        acknowledge(target, target.acknowledged);
    } else if (target.hold.has_value()) {
        answer_hold(target);
    }
}

// ---- what was seen

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
    const auto found = m_stories.find(task);
    return found == m_stories.end() ? 0 : found->second.crashes;
}

int crash_world::count_most_crashes(job_id id) const {
    int most = 0;
    for (const auto& [task, story] : m_stories) {
        most = std::max(most, task.step.job == id ? story.crashes : 0);
    }
    return most;
}

int crash_world::count_starts_after_three(const task_key& task) const {
    const auto found = m_stories.find(task);
    return found == m_stories.end() ? 0 : found->second.starts_after_three;
}

} // namespace poplarpitch
