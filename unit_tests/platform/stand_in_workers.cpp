#include "unit_tests/platform/stand_in_workers.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"
#include "unit_tests/platform/silent_port.h"
#include "unit_tests/support/port_reservation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <random>
#include <set>

namespace poplarpitch {
namespace {

constexpr duration heartbeat_interval = milliseconds{200}; // short, so that tests start quickly
// Heartbeats of many workers at the short interval would be a load of their own.
constexpr duration large_cluster_heartbeat_interval = milliseconds{1100};
constexpr std::size_t large_cluster_size = 20;
constexpr duration heartbeat_timeout = milliseconds{500};
constexpr duration crash_delay = milliseconds{10}; // from the start of a task that crashes or fails to that
constexpr duration restart_delay = milliseconds{1000}; // longer than an answer takes, so that it is lost
constexpr duration max_list_delay = milliseconds{800};
constexpr duration max_disconnect_time = milliseconds{300};
constexpr duration max_unhealthy_time = milliseconds{800};
constexpr int short_disconnect_percent = 50; // the worker accepts new connections at once
constexpr int unhealthy_after_disconnect_percent = 50;
constexpr duration abandoned_answer_delay = seconds{4}; // longer than the scheduler waits for an answer
constexpr std::int64_t first_clock_ms = 1;
constexpr std::size_t max_ended_rows = 500;
constexpr int default_slots = 32;
constexpr int slot_millicores = 500;
constexpr int full_percent = 100;
constexpr int long_running_tail_latency_ms = 10; // reported by long-running tasks

using json = nlohmann::json;

struct running_task {
    std::uint32_t run = 0;
    timer_id timer = 0; ///< ends the run; 0 for a run that lasts until it is stopped
    bool is_long_running = false;
};

struct ended_task {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string outcome;
};

/// State of one worker. Used on the loop's thread only.
struct simulated_worker {
    std::string machine; ///< the same for all incarnations
    std::string zone;
    std::int64_t process_start_ms = 0; ///< Unix time; 0 when the worker does not report it
    time_point clock_start{};          ///< origin of the worker's clock
    double clock_rate = 1;
    int incarnation = 1;
    bool is_up = true;
    bool is_disconnected = false; ///< the worker accepts no connections
    bool is_draining = false;
    time_point leaves_at{};
    time_point unhealthy_until{};
    std::string id;
    port_reservation port;
    std::string address;
    std::uint64_t fence = 0;
    std::uint64_t sequence = 0;
    std::uint64_t next_number = 1;
    std::int64_t lease_end_ms = 0; ///< end of the lease of all its runs, on the worker's clock
    timer_id lease_timer = 0;
    std::map<std::string, running_task> running;
    std::map<std::string, std::uint32_t> highest_ended_run; ///< by task; starts up to this are refused
    std::vector<ended_task> ended;
    std::vector<std::pair<http_responder, timer_id>> holds; ///< hold requests that wait for a run to end
    std::unique_ptr<http_listener> listener;
    std::size_t next_control = 0; ///< index of the control address for the next heartbeat
    std::string heartbeat_address;
};

worker_behaviour make_behaviour(duration run_time, worker_restart_mode mode) {
    worker_behaviour behaviour;
    behaviour.restart_mode = mode;
    behaviour.shortest_run = run_time;
    behaviour.longest_run = run_time;
    return behaviour;
}

} // namespace

struct stand_in_workers::impl {
    impl(std::vector<std::string> addresses, const worker_behaviour& chosen)
        : control_addresses(std::move(addresses)), behaviour(chosen), random(chosen.seed),
          caller(loop, http_caller_settings{}) {}

    // ---- random choices

    bool happens(int chance_percent) {
        return chance_percent > 0 &&
               static_cast<int>(random() % static_cast<unsigned>(full_percent)) < chance_percent;
    }

    duration pick_duration(duration least, duration most) {
        const auto span = to_milliseconds(most - least);
        return least + milliseconds{span <= 0 ? 0 : static_cast<std::int64_t>(random() >> 1U) % (span + 1)};
    }

    std::string make_id(const simulated_worker& worker) {
        if (behaviour.has_random_ids) {
            return absl::StrFormat("i-%08x", static_cast<std::uint32_t>(random()));
        }
        return worker.incarnation == 1 ? worker.machine
                                       : absl::StrCat(worker.machine, ".", worker.incarnation);
    }

    // ---- clocks and leases

    static std::int64_t get_clock(const simulated_worker& worker) {
        const auto since = system_clock().now() - worker.clock_start;
        const auto elapsed_ms = static_cast<double>(to_milliseconds(since)) * worker.clock_rate;
        return first_clock_ms + static_cast<std::int64_t>(elapsed_ms);
    }

    void extend_lease(simulated_worker& worker, const json& body) {
        const auto requested_ms = body.value("untilMs", std::int64_t{0});
        const auto until = std::min(requested_ms, get_clock(worker) + to_milliseconds(behaviour.max_lease));
        if (until > worker.lease_end_ms) {
            worker.lease_end_ms = until;
            schedule_lease_expiry(worker);
        }
    }

    void schedule_lease_expiry(simulated_worker& worker) {
        loop.cancel(worker.lease_timer);
        const auto remaining_ms =
            static_cast<double>(worker.lease_end_ms - get_clock(worker)) / worker.clock_rate;
        const milliseconds wait{static_cast<std::int64_t>(std::max(remaining_ms, 0.0)) + 1};
        worker.lease_timer =
            loop.call_at(system_clock().now() + wait, [this, &worker] { expire_lease(worker); });
    }

    void expire_lease(simulated_worker& worker) {
        if (get_clock(worker) < worker.lease_end_ms) {
            schedule_lease_expiry(worker);
            return;
        }
        for (const auto& item : worker.ended) {
            if (item.outcome == "done") {
                record.add_lapsed_end(item.task, item.run);
            }
        }
        while (!worker.running.empty()) {
            end_run(worker, std::string(worker.running.begin()->first), "lapsed");
        }
    }

    /// Expires the leases that are due on all workers that run `task`, in case their timers are late.
    void expire_leases_of_task(const std::string& task) {
        const auto found = workers_by_task.find(task);
        if (found == workers_by_task.end()) {
            return;
        }
        const auto running_there = found->second; // copied, since the end of a run changes the map
        for (auto* worker : running_there) {
            if (get_clock(*worker) >= worker->lease_end_ms) {
                expire_lease(*worker);
            }
        }
    }

    // ---- runs

    static std::string describe_worker(const simulated_worker& worker) {
        return absl::StrCat(worker.machine, " ", worker.id, " (", worker.zone, ", incarnation ",
                            worker.incarnation, ")");
    }

    static http_response make_response(const simulated_worker& worker, int status, json body) {
        http_response response;
        response.status = status;
        body["clockMs"] = get_clock(worker);
        if (worker.process_start_ms != 0) {
            body["born"] = worker.process_start_ms;
        }
        response.body = body.dump();
        return response;
    }

    static json make_lists(const simulated_worker& worker) {
        json body = {{"running", json::array()}, {"ended", json::array()}};
        for (const auto& [task, run] : worker.running) {
            body["running"].push_back({task, run.run, "", run.is_long_running ? 100 : 50,
                                       run.is_long_running ? long_running_tail_latency_ms : 0});
        }
        for (const auto& end : worker.ended) {
            if (body["ended"].size() == max_ended_rows) {
                break;
            }
            body["ended"].push_back({end.number, end.task, end.run, end.outcome, ""});
        }
        return body;
    }

    /// Removes a run and returns its number. Precondition: `worker` runs the task.
    std::uint32_t remove_run(simulated_worker& worker, const std::string& task, const char* outcome) {
        const auto found = worker.running.find(task);
        const auto run = found->second.run;
        loop.cancel(found->second.timer);
        worker.running.erase(found);
        workers_by_task[task].erase(&worker);
        if (workers_by_task[task].empty()) {
            workers_by_task.erase(task);
        }
        record.add_end(task, run, describe_worker(worker), outcome);
        return run;
    }

    void end_run(simulated_worker& worker, const std::string& task, const char* outcome) {
        if (!worker.running.contains(task)) {
            return;
        }
        const auto run = remove_run(worker, task, outcome);
        auto& highest = worker.highest_ended_run[task];
        highest = std::max(highest, run);
        worker.ended.push_back({worker.next_number++, task, run, outcome});
        answer_holds(worker);
    }

    void answer_holds(simulated_worker& worker) {
        auto holds = std::move(worker.holds);
        worker.holds.clear();
        for (auto& [respond, timer] : holds) {
            loop.cancel(timer);
            respond(make_response(worker, 200, make_lists(worker)));
        }
    }

    http_response start_run(simulated_worker& worker, const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        if (get_clock(worker) >= body.value("untilMs", std::int64_t{0})) {
            return make_response(worker, 409, {{"reason", "late"}});
        }
        expire_leases_of_task(task);
        expire_lease_if_due(worker);
        extend_lease(worker, body);
        const auto found = worker.running.find(task);
        if (found != worker.running.end() && found->second.run == run) {
            return make_response(worker, 200, {});
        }
        if (run <= worker.highest_ended_run[task]) {
            return make_response(worker, 409, {{"reason", "old"}});
        }
        if (found != worker.running.end()) {
            record.add_concurrent_start(task, run, describe_worker(worker));
            return make_response(worker, 409, {{"reason", "old"}});
        }
        if (behaviour.slots > 0 && worker.running.size() >= static_cast<std::size_t>(behaviour.slots)) {
            return make_response(worker, 409, {{"reason", "room"}});
        }
        begin_run(worker, task, run, body.value("spec", std::string{}));
        return make_response(worker, 200, {});
    }

    void begin_run(simulated_worker& worker, const std::string& task, std::uint32_t run,
                   const std::string& payload) {
        record.add_start(task, run, describe_worker(worker));
        if (payload == stand_in_workers::crashing_payload) {
            loop.call_after(crash_delay, [this, &worker, incarnation = worker.incarnation] {
                crash(worker, incarnation);
            });
        }
        const bool is_long_running = payload == stand_in_workers::long_running_payload ||
                                     payload == stand_in_workers::crashing_payload;
        timer_id timer = 0;
        if (payload == stand_in_workers::failing_once_payload && run == 1) {
            timer = loop.call_after(crash_delay, [this, &worker, task] { end_run(worker, task, "failed"); });
        } else if (!is_long_running) {
            const char* outcome = happens(behaviour.failed_run_percent) ? "failed" : "done";
            timer = loop.call_after(pick_duration(behaviour.shortest_run, behaviour.longest_run),
                                    [this, &worker, task, outcome] { end_run(worker, task, outcome); });
        }
        worker.running[task] = {run, timer, is_long_running};
        workers_by_task[task].insert(&worker);
    }

    http_response stop_run(simulated_worker& worker, const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        auto& highest = worker.highest_ended_run[task];
        highest = std::max(highest, run);
        const auto found = worker.running.find(task);
        if (found == worker.running.end() || found->second.run > run) {
            return make_response(worker, 200, {});
        }
        const auto delay = pick_duration(duration{0}, behaviour.longest_stop);
        if (delay <= duration{0}) {
            end_run(worker, task, "stopped");
        } else {
            loop.call_after(
                delay, [this, &worker, task, stopped = found->second.run, incarnation = worker.incarnation] {
                    const auto current = worker.running.find(task);
                    if (worker.incarnation == incarnation && current != worker.running.end() &&
                        current->second.run == stopped) {
                        end_run(worker, task, "stopped");
                    }
                });
        }
        return make_response(worker, 200, {});
    }

    // ---- incarnations

    /// Ends an incarnation of a worker with all its runs, unless it has already ended.
    void crash(simulated_worker& worker, int incarnation, duration downtime = restart_delay) {
        if (!worker.is_up || worker.incarnation != incarnation) {
            return;
        }
        end_incarnation(worker, "crashed");
        worker.listener.reset();
        loop.call_after(downtime, [this, &worker] { restart(worker); });
    }

    void end_incarnation(simulated_worker& worker, const char* outcome) {
        worker.is_up = false;
        expire_lease_if_due(worker);
        while (!worker.running.empty()) {
            remove_run(worker, std::string(worker.running.begin()->first), outcome);
        }
        for (const auto& [respond, timer] : worker.holds) {
            loop.cancel(timer);
        }
        worker.holds.clear();
        worker.ended.clear();
        loop.cancel(worker.lease_timer);
    }

    /// Ends a worker that is up, for good.
    void lose(simulated_worker& worker, worker_loss loss) {
        if (loss == worker_loss::silent) {
            silence_port(worker.port.get_port());
        }
        end_incarnation(worker, "lost");
        if (loss == worker_loss::reset) {
            worker.listener.reset();
        }
    }

    void expire_lease_if_due(simulated_worker& worker) {
        if (get_clock(worker) >= worker.lease_end_ms) {
            expire_lease(worker);
        }
    }

    void restart(simulated_worker& worker) {
        ++worker.incarnation;
        worker.is_up = true;
        if (behaviour.restart_mode == worker_restart_mode::new_id || worker.is_draining) {
            worker.id = make_id(worker);
        }
        begin_incarnation(worker);
        worker.is_disconnected = false;
        worker.is_draining = false;
        worker.unhealthy_until = {};
        worker.fence = 0;
        worker.sequence = 0;
        worker.next_number = 1;
        worker.lease_end_ms = 0;
        worker.highest_ended_run.clear();
        worker.heartbeat_address.clear();
        listen(worker);
    }

    void begin_incarnation(simulated_worker& worker) {
        const bool reports_start_time = behaviour.restart_mode == worker_restart_mode::same_id;
        worker.process_start_ms = reports_start_time ? get_wall_ms() : 0;
        worker.clock_start = reports_start_time ? system_clock().now() : time_point{};
        const auto fraction = static_cast<double>(random() % 1000) / 1000;
        worker.clock_rate = 1 - (1 - behaviour.slowest_clock) * fraction;
    }

    void deregister(simulated_worker& worker, int incarnation, duration downtime) {
        if (!worker.is_up || worker.incarnation != incarnation) {
            return;
        }
        json body = json::object();
        if (worker.process_start_ms != 0) {
            body["born"] = worker.process_start_ms;
        }
        send(control_addresses[worker.next_control++ % control_addresses.size()],
             absl::StrCat("/v1/Instances.Deregister/", worker.id), body, [](const auto&) {});
        crash(worker, incarnation, downtime);
    }

    // ---- incoming calls

    void listen(simulated_worker& worker) {
        http_listener_settings settings;
        settings.host = "127.0.0.1";
        settings.port = worker.port.get_port();
        settings.limits.idle_timeout = behaviour.idle_timeout;
        settings.sweep_interval = std::min<duration>(settings.sweep_interval, behaviour.idle_timeout);
        worker.listener = std::make_unique<http_listener>(
            loop, settings, [this, &worker](const http_request& request, const http_responder& respond) {
                handle_request(worker, request, respond);
            });
        worker.address = absl::StrCat("127.0.0.1:", worker.listener->start().value());
    }

    /// Closes all connections and accepts none for this long.
    void disconnect_for(simulated_worker& worker, duration length) {
        if (!worker.is_up || worker.is_disconnected) {
            return;
        }
        worker.is_disconnected = true;
        worker.listener.reset();
        loop.call_after(length, [this, &worker, incarnation = worker.incarnation] {
            if (worker.is_up && worker.incarnation == incarnation && !worker.is_draining) {
                worker.is_disconnected = false;
                listen(worker);
            }
        });
    }

    /// Closes all connections. In a share of cases the worker is unhealthy for a while after that.
    void drop_connections(simulated_worker& worker) {
        const auto length =
            happens(short_disconnect_percent) ? duration{0} : pick_duration(duration{0}, max_disconnect_time);
        disconnect_for(worker, length);
        if (happens(unhealthy_after_disconnect_percent)) {
            worker.unhealthy_until = loop.now() + length + pick_duration(duration{0}, max_unhealthy_time);
        }
    }

    void handle_request(simulated_worker& worker, const http_request& request,
                        const http_responder& respond) {
        if (!worker.is_up) {
            return; // arrived over a connection that the crash has not closed yet
        }
        if (loop.now() < worker.unhealthy_until) {
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
            const bool is_late = happens(behaviour.late_list_percent);
            const auto delay = pick_duration(duration{0}, max_list_delay);
            execute_order(worker, request.get_path(), body, is_late ? delay_answer(respond, delay) : respond);
            return;
        }
        handle_order(worker, request.get_path(), body, respond);
    }

    http_responder delay_answer(const http_responder& respond, duration delay) {
        return [this, respond, delay](const http_response& response) {
            loop.call_after(delay, [respond, response] { respond(response); });
        };
    }

    /// Executes an order now or later. Answers it now, later, or after the scheduler has stopped waiting.
    void handle_order(simulated_worker& worker, const std::string& path, const json& body,
                      const http_responder& respond) {
        const auto task = body.value("task", std::string{});
        const auto name =
            absl::StrCat(path, " of run ", body.value("run", 0), " at ", describe_worker(worker));
        const auto abandoned = delay_answer(respond, abandoned_answer_delay);
        if (happens(behaviour.late_order_percent)) {
            const auto delay = pick_duration(duration{0}, behaviour.longest_delay);
            record.add_note(task, absl::StrCat(name, " waits ", to_milliseconds(delay), " ms"));
            loop.call_after(delay, [this, &worker, incarnation = worker.incarnation, path, body, abandoned] {
                if (worker.is_up && worker.incarnation == incarnation) {
                    execute_order(worker, path, body, abandoned);
                }
            });
        } else if (happens(behaviour.unanswered_order_percent)) {
            record.add_note(task, absl::StrCat(name, " gets no answer"));
            execute_order(worker, path, body, abandoned);
        } else if (happens(behaviour.late_answer_percent)) {
            record.add_note(task, absl::StrCat(name, " is answered late"));
            execute_order(worker, path, body,
                          delay_answer(respond, pick_duration(duration{0}, behaviour.longest_delay)));
        } else if (happens(behaviour.disconnect_percent)) {
            record.add_note(task, absl::StrCat(name, " is followed by a disconnect"));
            execute_order(worker, path, body, abandoned);
            loop.post([this, &worker] { drop_connections(worker); });
        } else {
            execute_order(worker, path, body, respond);
        }
    }

    void execute_order(simulated_worker& worker, const std::string& path, const json& body,
                       const http_responder& respond) {
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < worker.fence) {
            respond(make_response(worker, 409, {{"reason", "fence"}}));
            return;
        }
        worker.fence = fence;
        if (path == "/v1/run-start") {
            respond(start_run(worker, body));
        } else if (path == "/v1/run-stop") {
            respond(stop_run(worker, body));
        } else if (path == "/v1/hold") {
            handle_hold(worker, body, respond);
        } else {
            respond(make_response(worker, 200, {}));
        }
    }

    void handle_hold(simulated_worker& worker, const json& body, const http_responder& respond) {
        expire_lease_if_due(worker);
        extend_lease(worker, body);
        const auto acknowledged = body.value("ackedUpto", std::uint64_t{0});
        for (const auto& item : worker.ended) {
            if (item.number <= acknowledged && item.outcome == "done") {
                record.add_acknowledged_end(item.task, item.run);
            }
        }
        std::erase_if(worker.ended, [&](const ended_task& item) { return item.number <= acknowledged; });
        const auto wait = body.value("waitMs", 0);
        if (!worker.ended.empty() || wait == 0) {
            respond(make_response(worker, 200, make_lists(worker)));
            return;
        }
        const auto timer = loop.call_after(milliseconds{wait}, [this, &worker] { answer_holds(worker); });
        worker.holds.emplace_back(respond, timer);
    }

    // ---- outgoing calls

    void send(const std::string& address, const std::string& path, const json& body,
              std::function<void(const result<http_response>&)> on_answer) {
        http_call call;
        call.address = address;
        call.timeout = heartbeat_timeout;
        call.request.method = "POST";
        call.request.target = path;
        call.request.body = body.dump();
        caller.send(std::move(call), std::move(on_answer));
    }

    void schedule_heartbeat(simulated_worker& worker) {
        loop.call_after(workers.size() > large_cluster_size ? large_cluster_heartbeat_interval
                                                            : heartbeat_interval,
                        [this, &worker] { send_heartbeat(worker); });
    }

    json make_heartbeat(simulated_worker& worker) const {
        const int slots = behaviour.slots > 0 ? behaviour.slots : default_slots;
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
        if (worker.process_start_ms != 0) {
            body["born"] = worker.process_start_ms;
        }
        return body;
    }

    void send_heartbeat(simulated_worker& worker) {
        if (!worker.is_up) {
            schedule_heartbeat(worker);
            return;
        }
        const bool has_heartbeat_address = !worker.heartbeat_address.empty();
        const auto address = has_heartbeat_address
                                 ? worker.heartbeat_address
                                 : control_addresses[worker.next_control++ % control_addresses.size()];
        const auto path = absl::StrCat("/v1/Instances.Heartbeat/", worker.id);
        const auto body = make_heartbeat(worker);
        if (happens(behaviour.late_heartbeat_percent)) {
            const auto other = control_addresses[random() % control_addresses.size()];
            loop.call_after(
                pick_duration(duration{0}, behaviour.longest_delay),
                [this, &worker, other, path, body] { send(other, path, body, [](const auto&) {}); });
        }
        send(address, path, body, [this, &worker](const result<http_response>& response) {
            worker.heartbeat_address.clear();
            if (response && response.value().status == 200) {
                const auto reply = json::parse(response.value().body, nullptr, false);
                worker.heartbeat_address = reply.is_object() ? reply.value("heartbeatAddr", "") : "";
            }
            schedule_heartbeat(worker);
        });
    }

    void add_worker(int number) {
        auto worker = std::make_unique<simulated_worker>();
        worker->machine = absl::StrCat("w", number);
        worker->zone = behaviour.zones[static_cast<std::size_t>(number - 1) % behaviour.zones.size()];
        worker->id = make_id(*worker);
        worker->next_control = static_cast<std::size_t>(number);
        begin_incarnation(*worker);
        auto& state = *worker;
        listen(state);
        workers.push_back(std::move(worker));
        send_heartbeat(state);
    }

    /// Runs `work` on the loop's thread with a worker, if the worker is up.
    void post_to_worker(int number, std::function<void(simulated_worker&)> work) {
        loop.post([this, number, work = std::move(work)] {
            auto& worker = *workers.at(static_cast<std::size_t>(number));
            if (worker.is_up) {
                work(worker);
            }
        });
    }

    std::vector<std::string> control_addresses;
    worker_behaviour behaviour;
    std::mt19937_64 random; ///< used on the loop's thread only once the loop runs
    event_loop loop;
    http_caller caller;
    std::vector<std::unique_ptr<simulated_worker>> workers;
    std::map<std::string, std::set<simulated_worker*>> workers_by_task; ///< the workers that run each task
    run_record record;
};

stand_in_workers::stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                                   restart_mode mode)
    : stand_in_workers(count, std::move(control_addresses), make_behaviour(run_time, mode)) {}

stand_in_workers::stand_in_workers(int count, std::vector<std::string> control_addresses,
                                   const worker_behaviour& behaviour)
    : m_impl(std::make_unique<impl>(std::move(control_addresses), behaviour)) {
    for (int number = 1; number <= count; ++number) {
        m_impl->add_worker(number);
    }
    m_thread = std::thread([this] { m_impl->loop.run(); });
}

stand_in_workers::~stand_in_workers() {
    m_impl->loop.stop();
    m_thread.join();
}

void stand_in_workers::crash(const std::vector<int>& numbers, duration downtime) {
    for (const auto number : numbers) {
        m_impl->post_to_worker(
            number, [this, downtime](auto& worker) { m_impl->crash(worker, worker.incarnation, downtime); });
    }
}

void stand_in_workers::lose(const std::vector<int>& numbers, worker_loss loss) {
    for (const auto number : numbers) {
        m_impl->post_to_worker(number, [this, loss](auto& worker) { m_impl->lose(worker, loss); });
    }
}

void stand_in_workers::drain(int number, duration notice, duration downtime) {
    m_impl->post_to_worker(number, [this, notice, downtime](auto& worker) {
        auto& self = *m_impl;
        worker.is_draining = true;
        worker.leaves_at = self.loop.now() + notice;
        self.loop.call_after(self.pick_duration(duration{0}, notice),
                             [&self, &worker, incarnation = worker.incarnation] {
                                 if (worker.is_up && worker.incarnation == incarnation) {
                                     worker.is_disconnected = true;
                                     worker.listener.reset();
                                 }
                             });
        self.loop.call_after(notice, [&self, &worker, incarnation = worker.incarnation, downtime] {
            self.deregister(worker, incarnation, downtime);
        });
    });
}

void stand_in_workers::make_unhealthy(int number, duration length) {
    m_impl->post_to_worker(
        number, [this, length](auto& worker) { worker.unhealthy_until = m_impl->loop.now() + length; });
}

void stand_in_workers::disconnect(int number, duration length) {
    m_impl->post_to_worker(number, [this, length](auto& worker) { m_impl->disconnect_for(worker, length); });
}

int stand_in_workers::get_starts_after_done() const {
    return m_impl->record.get_starts_after_done();
}

std::map<std::string, int> stand_in_workers::get_done_counts() const {
    return m_impl->record.get_done_counts();
}

std::map<std::string, int> stand_in_workers::get_start_counts() const {
    return m_impl->record.get_start_counts();
}

int stand_in_workers::get_concurrent_start_count() const {
    return m_impl->record.get_concurrent_start_count();
}

int stand_in_workers::get_running_count() const {
    return m_impl->record.get_running_count();
}

const run_record& stand_in_workers::get_record() const {
    return m_impl->record;
}

} // namespace poplarpitch
