#include "unit_tests/platform/stand_in_workers.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "unit_tests/support/port_reservation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <random>
#include <set>

namespace poplarpitch {
namespace {

constexpr duration beat_interval = milliseconds{200}; // short, so that tests begin at once
constexpr duration many_beat_interval =
    milliseconds{1100}; // of so many that they would be a load of their own
constexpr std::size_t many_workers = 20;
constexpr duration beat_timeout = milliseconds{500};
constexpr duration crash_delay = milliseconds{10};    // after the start of a task that crashes its worker
constexpr duration restart_time = milliseconds{1000}; // longer than an answer takes, so that it is missed
constexpr duration longest_list_delay = milliseconds{800};
constexpr duration longest_break = milliseconds{300};
constexpr duration longest_sickness = milliseconds{800};
constexpr int short_breaks = 50;               // of 100: the next connection comes up at once
constexpr int sick_after_break = 50;           // of 100
constexpr duration unheard_delay = seconds{4}; // of an answer that nobody waits for any more
constexpr std::int64_t first_clock_ms = 1;
constexpr std::size_t max_ended_rows = 500;
constexpr int usual_slots = 32;
constexpr int slot_millicores = 500;
constexpr int percent = 100;
constexpr int lasting_tail_ms = 10; // what a task that lasts tells of its own answers

using json = nlohmann::json;

struct running_task {
    std::uint32_t run = 0;
    timer_id timer = 0; ///< of its end; 0 for one that lasts until it is stopped
    bool lasts = false;
};

struct ended_task {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
};

/// One worker's state; all on the loop's thread.
struct pretended_worker {
    std::string machine; ///< what its lives have in common
    std::string zone;
    std::int64_t born_ms = 0; ///< 0 where it does not tell
    time_point clock_start{}; ///< its clock counts from there
    double clock_rate = 1;
    int life = 1;
    bool is_up = true;
    bool is_deaf = false; ///< it takes no calls
    bool is_draining = false;
    time_point leaves_at{};
    time_point sick_until{};
    std::string id;
    port_reservation port;
    std::string address;
    std::uint64_t fence = 0;
    std::uint64_t sequence = 0;
    std::uint64_t next_number = 1;
    std::int64_t until_ms = 0; ///< the lease of all that runs, on its own clock
    timer_id lease_timer = 0;
    std::map<std::string, running_task> running;
    std::map<std::string, std::uint32_t> highest_ended; ///< runs up to this are refused
    std::vector<ended_task> ended;
    std::vector<std::pair<http_responder, timer_id>> holds; ///< that wait for an end
    std::unique_ptr<http_listener> listener;
    std::size_t control = 0; ///< which address the next heartbeat goes to
    std::string heartbeat_address;
};

worker_habits make_habits(duration run_time, worker_rebirth how) {
    worker_habits habits;
    habits.rebirth = how;
    habits.shortest_run = run_time;
    habits.longest_run = run_time;
    return habits;
}

} // namespace

struct stand_in_workers::parts {
    parts(std::vector<std::string> addresses, const worker_habits& chosen)
        : controls(std::move(addresses)), habits(chosen), random(chosen.seed),
          caller(loop, http_caller_settings{}) {}

    // ---- chance

    bool happens(int chance) {
        return chance > 0 && static_cast<int>(random() % static_cast<unsigned>(percent)) < chance;
    }

    duration pick(duration least, duration most) {
        const auto span = to_milliseconds(most - least);
        return least + milliseconds{span <= 0 ? 0 : static_cast<std::int64_t>(random() >> 1U) % (span + 1)};
    }

    std::string make_id(const pretended_worker& worker) {
        if (habits.has_random_ids) {
            return absl::StrFormat("i-%08x", static_cast<std::uint32_t>(random()));
        }
        return worker.life == 1 ? worker.machine : absl::StrCat(worker.machine, ".", worker.life);
    }

    // ---- clocks and leases

    static std::int64_t get_clock(const pretended_worker& worker) {
        const auto since = system_clock().now() - worker.clock_start;
        const auto told = static_cast<double>(to_milliseconds(since)) * worker.clock_rate;
        return first_clock_ms + static_cast<std::int64_t>(told);
    }

    void prolong(pretended_worker& worker, const json& body) {
        const auto wanted = body.value("untilMs", std::int64_t{0});
        const auto until = std::min(wanted, get_clock(worker) + to_milliseconds(habits.longest_lease));
        if (until > worker.until_ms) {
            worker.until_ms = until;
            watch_lease(worker);
        }
    }

    void watch_lease(pretended_worker& worker) {
        loop.cancel(worker.lease_timer);
        const auto left = static_cast<double>(worker.until_ms - get_clock(worker)) / worker.clock_rate;
        const milliseconds wait{static_cast<std::int64_t>(std::max(left, 0.0)) + 1};
        worker.lease_timer =
            loop.call_at(system_clock().now() + wait, [this, &worker] { end_lapsed(worker); });
    }

    void end_lapsed(pretended_worker& worker) {
        if (get_clock(worker) < worker.until_ms) {
            watch_lease(worker);
            return;
        }
        for (const auto& item : worker.ended) {
            if (item.how == "done") {
                record.note_lapsed_end(item.task, item.run);
            }
        }
        while (!worker.running.empty()) {
            end(worker, std::string(worker.running.begin()->first), "lapsed");
        }
    }

    /// Ends what has lapsed by now, however late this thread comes to it.
    void end_lapsed_runs(const std::string& task) {
        const auto found = hosts.find(task);
        if (found == hosts.end()) {
            return;
        }
        const auto running_there = found->second; // an end changes it
        for (auto* worker : running_there) {
            if (get_clock(*worker) >= worker->until_ms) {
                end_lapsed(*worker);
            }
        }
    }

    // ---- runs

    static std::string get_place(const pretended_worker& worker) {
        return absl::StrCat(worker.machine, " ", worker.id, " (", worker.zone, ", life ", worker.life, ")");
    }

    static http_response make_response(const pretended_worker& worker, int status, json body) {
        http_response response;
        response.status = status;
        body["clockMs"] = get_clock(worker);
        if (worker.born_ms != 0) {
            body["born"] = worker.born_ms;
        }
        response.body = body.dump();
        return response;
    }

    static json list(const pretended_worker& worker) {
        json body = {{"running", json::array()}, {"ended", json::array()}};
        for (const auto& [task, run] : worker.running) {
            body["running"].push_back(
                {task, run.run, "", run.lasts ? 100 : 50, run.lasts ? lasting_tail_ms : 0});
        }
        for (const auto& end : worker.ended) {
            if (body["ended"].size() == max_ended_rows) {
                break;
            }
            body["ended"].push_back({end.number, end.task, end.run, end.how, ""});
        }
        return body;
    }

    /// Takes a run out of all that runs. Precondition: it runs there.
    std::uint32_t take_out(pretended_worker& worker, const std::string& task, const char* how) {
        const auto found = worker.running.find(task);
        const auto run = found->second.run;
        loop.cancel(found->second.timer);
        worker.running.erase(found);
        hosts[task].erase(&worker);
        if (hosts[task].empty()) {
            hosts.erase(task);
        }
        record.note_end(task, run, get_place(worker), how);
        return run;
    }

    void end(pretended_worker& worker, const std::string& task, const char* how) {
        if (!worker.running.contains(task)) {
            return;
        }
        const auto run = take_out(worker, task, how);
        auto& highest = worker.highest_ended[task];
        highest = std::max(highest, run);
        worker.ended.push_back({worker.next_number++, task, run, how});
        answer_holds(worker);
    }

    void answer_holds(pretended_worker& worker) {
        auto holds = std::move(worker.holds);
        worker.holds.clear();
        for (auto& [respond, timer] : holds) {
            loop.cancel(timer);
            respond(make_response(worker, 200, list(worker)));
        }
    }

    http_response start(pretended_worker& worker, const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        if (get_clock(worker) >= body.value("untilMs", std::int64_t{0})) {
            return make_response(worker, 409, {{"reason", "late"}});
        }
        end_lapsed_runs(task);
        end_lapsed_at(worker);
        prolong(worker, body);
        const auto found = worker.running.find(task);
        if (found != worker.running.end() && found->second.run == run) {
            return make_response(worker, 200, {});
        }
        if (run <= worker.highest_ended[task]) {
            return make_response(worker, 409, {{"reason", "old"}});
        }
        if (found != worker.running.end()) {
            record.note_start_beside(task, run, get_place(worker));
            return make_response(worker, 409, {{"reason", "old"}});
        }
        if (habits.slots > 0 && worker.running.size() >= static_cast<std::size_t>(habits.slots)) {
            return make_response(worker, 409, {{"reason", "room"}});
        }
        begin(worker, task, run, body.value("spec", std::string{}));
        return make_response(worker, 200, {});
    }

    void begin(pretended_worker& worker, const std::string& task, std::uint32_t run,
               const std::string& spec) {
        record.note_start(task, run, get_place(worker));
        if (spec == stand_in_workers::crashing_spec) {
            loop.call_after(crash_delay, [this, &worker, life = worker.life] { crash(worker, life); });
        }
        const bool lasts = spec == stand_in_workers::lasting_spec || spec == stand_in_workers::crashing_spec;
        timer_id timer = 0;
        if (!lasts) {
            const char* how = happens(habits.failed_runs) ? "failed" : "done";
            timer = loop.call_after(pick(habits.shortest_run, habits.longest_run),
                                    [this, &worker, task, how] { end(worker, task, how); });
        }
        worker.running[task] = {run, timer, lasts};
        hosts[task].insert(&worker);
    }

    http_response stop(pretended_worker& worker, const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        auto& highest = worker.highest_ended[task];
        highest = std::max(highest, run);
        const auto found = worker.running.find(task);
        if (found == worker.running.end() || found->second.run > run) {
            return make_response(worker, 200, {});
        }
        const auto delay = pick(duration{0}, habits.longest_stop);
        if (delay <= duration{0}) {
            end(worker, task, "stopped");
        } else {
            loop.call_after(delay, [this, &worker, task, stopped = found->second.run, life = worker.life] {
                const auto still = worker.running.find(task);
                if (worker.life == life && still != worker.running.end() && still->second.run == stopped) {
                    end(worker, task, "stopped");
                }
            });
        }
        return make_response(worker, 200, {});
    }

    // ---- lives

    /// Ends a life of a worker, if it has not ended yet, with all that runs there.
    void crash(pretended_worker& worker, int life, duration down = restart_time) {
        if (!worker.is_up || worker.life != life) {
            return;
        }
        worker.is_up = false;
        end_lapsed_at(worker);
        while (!worker.running.empty()) {
            take_out(worker, std::string(worker.running.begin()->first), "crashed");
        }
        for (const auto& [respond, timer] : worker.holds) {
            loop.cancel(timer);
        }
        worker.holds.clear();
        worker.ended.clear();
        worker.listener.reset();
        loop.cancel(worker.lease_timer);
        loop.call_after(down, [this, &worker] { come_back(worker); });
    }

    void end_lapsed_at(pretended_worker& worker) {
        if (get_clock(worker) >= worker.until_ms) {
            end_lapsed(worker);
        }
    }

    void come_back(pretended_worker& worker) {
        ++worker.life;
        worker.is_up = true;
        if (habits.rebirth == worker_rebirth::new_id || worker.is_draining) {
            worker.id = make_id(worker);
        }
        begin_life(worker);
        worker.is_deaf = false;
        worker.is_draining = false;
        worker.sick_until = {};
        worker.fence = 0;
        worker.sequence = 0;
        worker.next_number = 1;
        worker.until_ms = 0;
        worker.highest_ended.clear();
        worker.heartbeat_address.clear();
        listen(worker);
    }

    void begin_life(pretended_worker& worker) {
        const bool tells = habits.rebirth == worker_rebirth::same_id;
        worker.born_ms = tells ? get_wall_ms() : 0;
        worker.clock_start = tells ? system_clock().now() : time_point{};
        const auto share = static_cast<double>(random() % 1000) / 1000;
        worker.clock_rate = 1 - (1 - habits.slowest_clock) * share;
    }

    void leave(pretended_worker& worker, int life, duration down) {
        if (!worker.is_up || worker.life != life) {
            return;
        }
        json body = json::object();
        if (worker.born_ms != 0) {
            body["born"] = worker.born_ms;
        }
        send(controls[worker.control++ % controls.size()],
             absl::StrCat("/v1/Instances.Deregister/", worker.id), body, [](const auto&) {});
        crash(worker, life, down);
    }

    // ---- calls that come

    void listen(pretended_worker& worker) {
        http_listener_settings settings;
        settings.host = "127.0.0.1";
        settings.port = worker.port.get_port();
        settings.idle_timeout = habits.idle_timeout;
        settings.sweep_interval = std::min<duration>(settings.sweep_interval, habits.idle_timeout);
        worker.listener = std::make_unique<http_listener>(
            loop, settings, [this, &worker](const http_request& request, const http_responder& respond) {
                handle(worker, request, respond);
            });
        worker.address = absl::StrCat("127.0.0.1:", worker.listener->start().value());
    }

    /// Closes all connections, and opens none for this long.
    void close_for(pretended_worker& worker, duration length) {
        if (!worker.is_up || worker.is_deaf) {
            return;
        }
        worker.is_deaf = true;
        worker.listener.reset();
        loop.call_after(length, [this, &worker, life = worker.life] {
            if (worker.is_up && worker.life == life && !worker.is_draining) {
                worker.is_deaf = false;
                listen(worker);
            }
        });
    }

    /// Ends all connections, and is not well for a while after that, at times.
    void break_connections(pretended_worker& worker) {
        const auto length = happens(short_breaks) ? duration{0} : pick(duration{0}, longest_break);
        close_for(worker, length);
        if (happens(sick_after_break)) {
            worker.sick_until = loop.now() + length + pick(duration{0}, longest_sickness);
        }
    }

    void handle(pretended_worker& worker, const http_request& request, const http_responder& respond) {
        if (!worker.is_up) {
            return; // it came over a connection that the crash has yet to end
        }
        if (loop.now() < worker.sick_until) {
            respond(make_response(worker, 503, {}));
            return;
        }
        if (request.headers.get("Expect-Instance") != worker.id) {
            respond(make_response(worker, 421, {}));
            return;
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            respond(make_response(worker, 400, {}));
            return;
        }
        if (request.get_path() == "/v1/hold") {
            const bool is_late = happens(habits.late_lists);
            const auto delay = pick(duration{0}, longest_list_delay);
            carry_out(worker, request.get_path(), body, is_late ? delay_answer(respond, delay) : respond);
            return;
        }
        take_order(worker, request.get_path(), body, respond);
    }

    http_responder delay_answer(const http_responder& respond, duration delay) {
        return [this, respond, delay](const http_response& response) {
            loop.call_after(delay, [respond, response] { respond(response); });
        };
    }

    /// Carries an order out, now or later, and answers it, now, later or when nobody waits any more.
    void take_order(pretended_worker& worker, const std::string& path, const json& body,
                    const http_responder& respond) {
        const auto task = body.value("task", std::string{});
        const auto name = absl::StrCat(path, " of run ", body.value("run", 0), " at ", get_place(worker));
        const auto unheard = delay_answer(respond, unheard_delay);
        if (happens(habits.late_orders)) {
            const auto delay = pick(duration{0}, habits.longest_delay);
            record.note(task, absl::StrCat(name, " waits ", to_milliseconds(delay), " ms"));
            loop.call_after(delay, [this, &worker, life = worker.life, path, body, unheard] {
                if (worker.is_up && worker.life == life) {
                    carry_out(worker, path, body, unheard);
                }
            });
        } else if (happens(habits.unanswered_orders)) {
            record.note(task, absl::StrCat(name, " gets no answer"));
            carry_out(worker, path, body, unheard);
        } else if (happens(habits.late_answers)) {
            record.note(task, absl::StrCat(name, " is answered late"));
            carry_out(worker, path, body, delay_answer(respond, pick(duration{0}, habits.longest_delay)));
        } else if (happens(habits.cut_orders)) {
            record.note(task, absl::StrCat(name, " is followed by a cut"));
            carry_out(worker, path, body, unheard);
            loop.post([this, &worker] { break_connections(worker); });
        } else {
            carry_out(worker, path, body, respond);
        }
    }

    void carry_out(pretended_worker& worker, const std::string& path, const json& body,
                   const http_responder& respond) {
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < worker.fence) {
            respond(make_response(worker, 409, {{"reason", "fence"}}));
            return;
        }
        worker.fence = fence;
        if (path == "/v1/run-start") {
            respond(start(worker, body));
        } else if (path == "/v1/run-stop") {
            respond(stop(worker, body));
        } else if (path == "/v1/hold") {
            hold(worker, body, respond);
        } else {
            respond(make_response(worker, 200, {}));
        }
    }

    void hold(pretended_worker& worker, const json& body, const http_responder& respond) {
        end_lapsed_at(worker);
        prolong(worker, body);
        const auto acknowledged = body.value("ackedUpto", std::uint64_t{0});
        for (const auto& item : worker.ended) {
            if (item.number <= acknowledged && item.how == "done") {
                record.note_forgotten(item.task, item.run);
            }
        }
        std::erase_if(worker.ended, [&](const ended_task& item) { return item.number <= acknowledged; });
        const auto wait = body.value("waitMs", 0);
        if (!worker.ended.empty() || wait == 0) {
            respond(make_response(worker, 200, list(worker)));
            return;
        }
        const auto timer = loop.call_after(milliseconds{wait}, [this, &worker] { answer_holds(worker); });
        worker.holds.emplace_back(respond, timer);
    }

    // ---- calls that go

    void send(const std::string& address, const std::string& path, const json& body,
              std::function<void(const result<http_response>&)> on_answer) {
        http_call call;
        call.address = address;
        call.timeout = beat_timeout;
        call.request.method = "POST";
        call.request.target = path;
        call.request.body = body.dump();
        caller.send(std::move(call), std::move(on_answer));
    }

    void beat_later(pretended_worker& worker) {
        loop.call_after(workers.size() > many_workers ? many_beat_interval : beat_interval,
                        [this, &worker] { beat(worker); });
    }

    json describe(pretended_worker& worker) const {
        const int slots = habits.slots > 0 ? habits.slots : usual_slots;
        json body{{"service", "mill"},
                  {"addr", worker.address},
                  {"zone", worker.zone},
                  {"state", worker.is_draining ? "draining" : "ready"},
                  {"capacity", {{"cpu", slots * slot_millicores}, {"memMb", 32000}, {"gpu", 0}}},
                  {"labels", {"a", "r1"}},
                  {"clockMs", get_clock(worker)},
                  {"seq", ++worker.sequence}};
        if (worker.is_draining) {
            body["remainingMs"] = std::max<std::int64_t>(to_milliseconds(worker.leaves_at - loop.now()), 0);
        }
        if (worker.born_ms != 0) {
            body["born"] = worker.born_ms;
        }
        return body;
    }

    void beat(pretended_worker& worker) {
        if (!worker.is_up) {
            beat_later(worker);
            return;
        }
        const bool is_told = !worker.heartbeat_address.empty();
        const auto address =
            is_told ? worker.heartbeat_address : controls[worker.control++ % controls.size()];
        const auto path = absl::StrCat("/v1/Instances.Heartbeat/", worker.id);
        const auto body = describe(worker);
        if (happens(habits.late_beats)) {
            const auto other = controls[random() % controls.size()];
            loop.call_after(pick(duration{0}, habits.longest_delay), [this, &worker, other, path, body] {
                send(other, path, body, [](const auto&) {});
            });
        }
        send(address, path, body, [this, &worker](const result<http_response>& response) {
            worker.heartbeat_address.clear();
            if (response && response.value().status == 200) {
                const auto told = json::parse(response.value().body, nullptr, false);
                worker.heartbeat_address = told.is_object() ? told.value("heartbeatAddr", "") : "";
            }
            beat_later(worker);
        });
    }

    void add_worker(int number) {
        auto worker = std::make_unique<pretended_worker>();
        worker->machine = absl::StrCat("w", number);
        worker->zone = habits.zones[static_cast<std::size_t>(number - 1) % habits.zones.size()];
        worker->id = make_id(*worker);
        worker->control = static_cast<std::size_t>(number);
        begin_life(*worker);
        auto& state = *worker;
        listen(state);
        workers.push_back(std::move(worker));
        beat(state);
    }

    /// Does something with the life of a worker that is there now.
    void do_with(int number, std::function<void(pretended_worker&)> work) {
        loop.post([this, number, work = std::move(work)] {
            auto& worker = *workers.at(static_cast<std::size_t>(number));
            if (worker.is_up) {
                work(worker);
            }
        });
    }

    std::vector<std::string> controls;
    worker_habits habits;
    std::mt19937_64 random; ///< on the loop's thread once that runs
    event_loop loop;
    http_caller caller;
    std::vector<std::unique_ptr<pretended_worker>> workers;
    std::map<std::string, std::set<pretended_worker*>> hosts; ///< where each task runs
    run_record record;
};

stand_in_workers::stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                                   rebirth how)
    : stand_in_workers(count, std::move(control_addresses), make_habits(run_time, how)) {}

stand_in_workers::stand_in_workers(int count, std::vector<std::string> control_addresses,
                                   const worker_habits& habits)
    : m_parts(std::make_unique<parts>(std::move(control_addresses), habits)) {
    for (int number = 1; number <= count; ++number) {
        m_parts->add_worker(number);
    }
    m_thread = std::thread([this] { m_parts->loop.run(); });
}

stand_in_workers::~stand_in_workers() {
    m_parts->loop.stop();
    m_thread.join();
}

void stand_in_workers::crash(const std::vector<int>& numbers, duration down) {
    for (const auto number : numbers) {
        m_parts->do_with(number, [this, down](auto& worker) { m_parts->crash(worker, worker.life, down); });
    }
}

void stand_in_workers::drain(int number, duration stay, duration down) {
    m_parts->do_with(number, [this, stay, down](auto& worker) {
        auto& all = *m_parts;
        worker.is_draining = true;
        worker.leaves_at = all.loop.now() + stay;
        all.loop.call_after(all.pick(duration{0}, stay), [&all, &worker, life = worker.life] {
            if (worker.is_up && worker.life == life) {
                worker.is_deaf = true;
                worker.listener.reset();
            }
        });
        all.loop.call_after(stay,
                            [&all, &worker, life = worker.life, down] { all.leave(worker, life, down); });
    });
}

void stand_in_workers::sicken(int number, duration length) {
    m_parts->do_with(number,
                     [this, length](auto& worker) { worker.sick_until = m_parts->loop.now() + length; });
}

void stand_in_workers::deafen(int number, duration length) {
    m_parts->do_with(number, [this, length](auto& worker) { m_parts->close_for(worker, length); });
}

int stand_in_workers::get_starts_after_done() const {
    return m_parts->record.get_starts_after_done();
}

std::map<std::string, int> stand_in_workers::get_done_counts() const {
    return m_parts->record.get_done_counts();
}

std::map<std::string, int> stand_in_workers::get_start_counts() const {
    return m_parts->record.get_start_counts();
}

int stand_in_workers::get_overlaps() const {
    return m_parts->record.get_overlaps();
}

int stand_in_workers::get_running() const {
    return m_parts->record.get_running();
}

const run_record& stand_in_workers::get_record() const {
    return m_parts->record;
}

} // namespace poplarpitch
