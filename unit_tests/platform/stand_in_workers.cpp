#include "unit_tests/platform/stand_in_workers.h"

#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_caller.h"
#include "poplarpitch/net/http_listener.h"

#include <nlohmann/json.hpp>

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
constexpr std::int64_t first_clock_ms = 1;
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
    std::string machine;      ///< what its lives have in common
    std::int64_t born_ms = 0; ///< 0 where it does not tell
    time_point clock_start{}; ///< its clock counts from there
    int life = 1;
    bool is_up = true;
    std::string id;
    int port = 0;
    std::string address;
    std::uint64_t fence = 0;
    std::uint64_t sequence = 0;
    std::uint64_t next_number = 1;
    std::map<std::string, running_task> running;
    std::map<std::string, std::uint32_t> highest_ended; ///< runs up to this are refused
    std::vector<ended_task> ended;
    std::vector<std::pair<http_responder, timer_id>> holds; ///< that wait for an end
    std::unique_ptr<http_listener> listener;
    std::size_t control = 0; ///< which address the next heartbeat goes to
    std::string heartbeat_address;
};

} // namespace

struct stand_in_workers::parts {
    parts(std::vector<std::string> addresses, duration length, rebirth way)
        : controls(std::move(addresses)), run_time(length), how(way), caller(loop, http_caller_settings{}) {}

    std::int64_t get_clock(const pretended_worker& worker) const {
        return first_clock_ms + to_milliseconds(loop.now() - worker.clock_start);
    }

    http_response make_response(const pretended_worker& worker, int status, json body) const {
        http_response response;
        response.status = status;
        body["clockMs"] = get_clock(worker);
        if (worker.born_ms != 0) {
            body["born"] = worker.born_ms;
        }
        response.body = body.dump();
        return response;
    }

    json list(const pretended_worker& worker) const {
        json body = {{"running", json::array()}, {"ended", json::array()}};
        for (const auto& [task, run] : worker.running) {
            body["running"].push_back(
                {task, run.run, "", run.lasts ? 100 : 50, run.lasts ? lasting_tail_ms : 0});
        }
        for (const auto& end : worker.ended) {
            body["ended"].push_back({end.number, end.task, end.run, end.how, ""});
        }
        return body;
    }

    void end(pretended_worker& worker, const std::string& task, const char* how) {
        const auto found = worker.running.find(task);
        if (found == worker.running.end()) {
            return;
        }
        const auto run = found->second.run;
        loop.cancel(found->second.timer);
        worker.running.erase(found);
        worker.highest_ended[task] = run;
        worker.ended.push_back({worker.next_number++, task, run, how});
        {
            const absl::MutexLock lock(&mutex);
            --running_now[task];
            done[task] += std::string(how) == "done" ? 1 : 0;
        }
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
        const auto found = worker.running.find(task);
        if (found != worker.running.end() && found->second.run == run) {
            return make_response(worker, 200, {});
        }
        if (run <= worker.highest_ended[task] || found != worker.running.end()) {
            return make_response(worker, 409, {{"reason", "old"}});
        }
        {
            const absl::MutexLock lock(&mutex);
            overlaps += running_now[task]++ > 0 ? 1 : 0;
            starts_after_done += forgotten.contains(task) ? 1 : 0;
            ++starts[task];
        }
        const auto spec = body.value("spec", std::string{});
        if (spec == stand_in_workers::crashing_spec) {
            loop.call_after(crash_delay, [this, &worker, life = worker.life] { crash(worker, life); });
        }
        const bool lasts = spec == stand_in_workers::lasting_spec || spec == stand_in_workers::crashing_spec;
        const auto timer =
            lasts ? 0 : loop.call_after(run_time, [this, &worker, task] { end(worker, task, "done"); });
        worker.running[task] = {run, timer, lasts};
        return make_response(worker, 200, {});
    }

    /// Ends a life of a worker, if it has not ended yet, with all that runs there.
    void crash(pretended_worker& worker, int life, duration down = restart_time) {
        if (!worker.is_up || worker.life != life) {
            return;
        }
        worker.is_up = false;
        {
            const absl::MutexLock lock(&mutex);
            for (const auto& [task, run] : worker.running) {
                loop.cancel(run.timer);
                --running_now[task];
            }
        }
        for (const auto& [respond, timer] : worker.holds) {
            loop.cancel(timer);
        }
        worker.holds.clear();
        worker.running.clear();
        worker.ended.clear();
        worker.listener.reset();
        loop.call_after(down, [this, &worker] { come_back(worker); });
    }

    void come_back(pretended_worker& worker) {
        ++worker.life;
        worker.is_up = true;
        if (how == rebirth::new_id) {
            worker.id = worker.machine + "." + std::to_string(worker.life);
        }
        begin_life(worker);
        worker.fence = 0;
        worker.sequence = 0;
        worker.next_number = 1;
        worker.highest_ended.clear();
        worker.heartbeat_address.clear();
        listen(worker);
    }

    void begin_life(pretended_worker& worker) const {
        worker.born_ms = how == rebirth::same_id ? get_wall_ms() : 0;
        worker.clock_start = how == rebirth::same_id ? loop.now() : time_point{};
    }

    void listen(pretended_worker& worker) {
        http_listener_settings settings;
        settings.host = "127.0.0.1";
        settings.port = worker.port;
        worker.listener = std::make_unique<http_listener>(
            loop, settings, [this, &worker](const http_request& request, const http_responder& respond) {
                handle(worker, request, respond);
            });
        worker.port = worker.listener->start().value();
        worker.address = "127.0.0.1:" + std::to_string(worker.port);
    }

    void handle(pretended_worker& worker, const http_request& request, const http_responder& respond) {
        if (!worker.is_up) {
            return; // it came over a connection that the crash has yet to end
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (request.headers.get("Expect-Instance") != worker.id) {
            respond(make_response(worker, 421, {}));
            return;
        }
        if (body.is_discarded()) {
            respond(make_response(worker, 400, {}));
            return;
        }
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < worker.fence) {
            respond(make_response(worker, 409, {{"reason", "fence"}}));
            return;
        }
        worker.fence = fence;
        const auto path = request.get_path();
        if (path == "/v1/run-start") {
            respond(start(worker, body));
        } else if (path == "/v1/run-stop") {
            const auto task = body.at("task").get<std::string>();
            auto& highest = worker.highest_ended[task];
            highest = std::max(highest, body.at("run").get<std::uint32_t>());
            end(worker, task, "stopped");
            respond(make_response(worker, 200, {}));
        } else if (path == "/v1/hold") {
            hold(worker, body, respond);
        } else {
            respond(make_response(worker, 200, {}));
        }
    }

    void hold(pretended_worker& worker, const json& body, const http_responder& respond) {
        const auto acknowledged = body.value("ackedUpto", std::uint64_t{0});
        for (const auto& item : worker.ended) {
            if (item.number <= acknowledged && item.how == "done") {
                const absl::MutexLock lock(&mutex);
                forgotten.insert(item.task);
            }
        }
        std::erase_if(worker.ended, [&](const ended_task& item) { return item.number <= acknowledged; });
        const auto wait = body.value("waitMs", 0);
        if (!worker.ended.empty() || wait == 0) {
            respond(make_response(worker, 200, list(worker)));
            return;
        }
        const auto timer = loop.call_after(milliseconds{wait}, [this, &worker] {
            auto holds = std::move(worker.holds);
            worker.holds.clear();
            for (auto& [answer, other] : holds) {
                loop.cancel(other);
                answer(make_response(worker, 200, list(worker)));
            }
        });
        worker.holds.emplace_back(respond, timer);
    }

    void beat_later(pretended_worker& worker) {
        loop.call_after(workers.size() > many_workers ? many_beat_interval : beat_interval,
                        [this, &worker] { beat(worker); });
    }

    void beat(pretended_worker& worker) {
        if (!worker.is_up) {
            beat_later(worker);
            return;
        }
        http_call call;
        const bool is_told = !worker.heartbeat_address.empty();
        call.address = is_told ? worker.heartbeat_address : controls[worker.control++ % controls.size()];
        call.timeout = beat_timeout;
        call.request.method = "POST";
        call.request.target = "/v1/Instances.Heartbeat/" + worker.id;
        json body{{"service", "mill"},
                  {"addr", worker.address},
                  {"zone", "here"},
                  {"state", "ready"},
                  {"capacity", {{"cpu", 16000}, {"memMb", 32000}, {"gpu", 0}}},
                  {"labels", {"a", "r1"}},
                  {"clockMs", get_clock(worker)},
                  {"seq", ++worker.sequence}};
        if (worker.born_ms != 0) {
            body["born"] = worker.born_ms;
        }
        call.request.body = body.dump();
        caller.send(std::move(call), [this, &worker](const result<http_response>& response) {
            worker.heartbeat_address.clear();
            if (response && response.value().status == 200) {
                const auto body = json::parse(response.value().body, nullptr, false);
                worker.heartbeat_address = body.is_object() ? body.value("heartbeatAddr", "") : "";
            }
            beat_later(worker);
        });
    }

    void add_worker(int number) {
        auto worker = std::make_unique<pretended_worker>();
        worker->machine = "w" + std::to_string(number);
        worker->id = worker->machine;
        worker->control = static_cast<std::size_t>(number);
        begin_life(*worker);
        auto& state = *worker;
        listen(state);
        workers.push_back(std::move(worker));
        beat(state);
    }

    std::vector<std::string> controls;
    duration run_time;
    rebirth how;
    event_loop loop;
    http_caller caller;
    std::vector<std::unique_ptr<pretended_worker>> workers;
    mutable absl::Mutex mutex;
    std::map<std::string, int> running_now ABSL_GUARDED_BY(mutex);
    std::map<std::string, int> done ABSL_GUARDED_BY(mutex);
    std::map<std::string, int> starts ABSL_GUARDED_BY(mutex);
    std::set<std::string> forgotten ABSL_GUARDED_BY(mutex); ///< tasks whose end as done was acknowledged
    int overlaps ABSL_GUARDED_BY(mutex) = 0;
    int starts_after_done ABSL_GUARDED_BY(mutex) = 0;
};

stand_in_workers::stand_in_workers(int count, std::vector<std::string> control_addresses, duration run_time,
                                   rebirth how)
    : m_parts(std::make_unique<parts>(std::move(control_addresses), run_time, how)) {
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
    m_parts->loop.post([this, numbers, down] {
        for (const auto number : numbers) {
            auto& worker = *m_parts->workers.at(static_cast<std::size_t>(number));
            m_parts->crash(worker, worker.life, down);
        }
    });
}

int stand_in_workers::get_starts_after_done() const {
    const absl::MutexLock lock(&m_parts->mutex);
    return m_parts->starts_after_done;
}

std::map<std::string, int> stand_in_workers::get_done_counts() const {
    const absl::MutexLock lock(&m_parts->mutex);
    return m_parts->done;
}

std::map<std::string, int> stand_in_workers::get_start_counts() const {
    const absl::MutexLock lock(&m_parts->mutex);
    return m_parts->starts;
}

int stand_in_workers::get_overlaps() const {
    const absl::MutexLock lock(&m_parts->mutex);
    return m_parts->overlaps;
}

int stand_in_workers::get_running() const {
    const absl::MutexLock lock(&m_parts->mutex);
    int sum = 0;
    for (const auto& [task, count] : m_parts->running_now) {
        sum += count;
    }
    return sum;
}

} // namespace poplarpitch
