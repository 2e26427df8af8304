#include "workers.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace review {
namespace {

using nlohmann::json;

constexpr int beat_timeout_ms = 1'000;
constexpr int max_redirects = 2;
constexpr std::size_t max_ended_rows = 500;
constexpr std::int64_t max_wait_ms = 2'000;
constexpr std::int64_t linger_ms = 500; // a leaving worker serves for a little longer than it has to

/// Returns the value of `name=` in a job's spec, or a default.
std::int64_t read_number(const std::string& spec, const std::string& name, std::int64_t otherwise) {
    const auto position = spec.find(name + "=");
    return position == std::string::npos ? otherwise : std::stoll(spec.substr(position + name.size() + 1));
}

std::string get_job(const std::string& task) {
    return task.substr(0, task.find('.'));
}

/// Returns the name of a run of a whole step, which its gang shares.
std::string get_gang_run(const task_run& item) {
    return item.task.substr(0, item.task.rfind('.')) + "/" + std::to_string(item.run);
}

/// Returns a checkpoint in the form of the pages' example: 8 digits of progress, 8 digits of the job.
std::string make_checkpoint(std::int64_t work_ms, const std::string& task) {
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%08llx", static_cast<unsigned long long>(work_ms));
    return digits + get_job(task).substr(0, 8);
}

std::int64_t read_checkpoint(const std::string& text) {
    return text.empty() ? 0 : std::stoll(text.substr(0, 8), nullptr, 16);
}

} // namespace

/// One machine and the worker that lives there at present. All state is guarded by the fleet's mutex.
class worker {
public:
    worker(worker_fleet& owner, std::string machine_name, endpoint at, std::string zone_name,
           std::string rack_name)
        : fleet(owner), machine(std::move(machine_name)), address(std::move(at)), zone(std::move(zone_name)),
          rack(std::move(rack_name)) {}

    /// Begins a new life. Returns the server that has to be stopped without the mutex, if any.
    void start() {
        id = "w-" + std::to_string(1000 + fleet.m_next_id++);
        ++life;
        born_ms = fleet.get_time_ms() - 1;
        fence = 0;
        sequence = 0;
        next_end = 1;
        lease_end_ms = 0;
        running.clear();
        ended.clear();
        highest_ended.clear();
        is_draining = false;
        leaves_at_ms = 0;
        beat_address.reset();
        is_up = true;
        server = std::make_unique<http_server>(
            address, [this](const http_message& request) { return handle(request); });
        fleet.m_record.add("worker " + id + " starts on " + machine + " at " + format_endpoint(address));
    }

    /// Ends the life with all that runs. Returns its server, whose end must not hold the mutex.
    std::unique_ptr<http_server> end(const std::string& why) {
        is_up = false;
        for (const auto& [task, item] : running) {
            fleet.note_end(item, machine, why);
            fleet.m_present[get_gang_run(item)].erase(task);
            fleet.m_broken.insert(get_gang_run(item));
        }
        running.clear();
        fleet.m_record.add("worker " + id + " on " + machine + " ends: " + why);
        fleet.m_changed.notify_all();
        return std::move(server);
    }

    [[nodiscard]] std::int64_t get_clock() const { return fleet.get_time_ms() - born_ms; }

    http_message handle(const http_message& request) {
        std::unique_lock lock(fleet.m_mutex);
        if (request.method == "GET") {
            return answer(200, json::object());
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return answer(400, json::object());
        }
        const auto expected = request.headers.find("expect-instance");
        if (!is_up || (expected != request.headers.end() && expected->second != id)) {
            return answer(421, json::object());
        }
        const auto given_fence = body.value("fence", std::uint64_t{0});
        if (given_fence < fence) {
            return answer(409, {{"reason", "fence"}});
        }
        fence = given_fence;
        if (request.target == "/v1/run-start") {
            return start_run(body);
        }
        if (request.target == "/v1/run-stop") {
            return stop_run(body);
        }
        if (request.target == "/v1/hold") {
            return hold(body, lock);
        }
        return answer(request.target == "/v1/pace" ? 200 : 404, json::object());
    }

    void extend_lease(const json& body) {
        const auto until =
            std::min(body.value("untilMs", std::int64_t{0}), get_clock() + fleet.m_terms.hold_max_ms);
        lease_end_ms = std::max(lease_end_ms, until);
    }

    http_message start_run(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        if (body.value("untilMs", std::int64_t{0}) <= get_clock()) {
            return answer(409, {{"reason", "late"}});
        }
        expire_lease();
        extend_lease(body);
        const auto found = running.find(task);
        if (found != running.end() && found->second.run == run) {
            return answer(200, json::object());
        }
        if (found != running.end() || run <= highest_ended[task]) {
            return answer(409, {{"reason", "old"}});
        }
        const auto spec = body.value("spec", std::string{});
        const auto checkpoint = body.value("checkpoint", std::string{});
        task_run item;
        item.task = task;
        item.run = run;
        item.work_ms = read_number(spec, "work", 1'000);
        item.members = static_cast<std::size_t>(read_number(spec, "gang", 1));
        item.is_gang = item.members > 1;
        item.saves = spec.find("saves") != std::string::npos;
        item.from_ms = read_checkpoint(checkpoint);
        item.saved = checkpoint;
        item.began_ms = fleet.get_time_ms();
        const auto restore_ms = checkpoint.empty() ? 0 : fleet.m_terms.restore_ms;
        item.works_since_ms = item.is_gang ? 0 : item.began_ms + restore_ms;
        running[task] = item;
        fleet.note_start(item, machine, checkpoint);
        if (item.is_gang) {
            fleet.m_present[get_gang_run(item)].insert(task);
        }
        if (is_failing) {
            end_run(task, "failed");
        }
        return answer(200, json::object());
    }

    http_message stop_run(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        auto& highest = highest_ended[task];
        highest = std::max(highest, run);
        const auto found = running.find(task);
        if (found != running.end() && found->second.run == run && found->second.stops_at_ms == 0) {
            found->second.stops_at_ms = fleet.get_time_ms() + fleet.m_terms.stop_ms;
        }
        return answer(200, json::object());
    }

    http_message hold(const json& body, std::unique_lock<std::recursive_mutex>& lock) {
        expire_lease();
        extend_lease(body);
        const auto acknowledged = body.value("ackedUpto", std::uint64_t{0});
        std::erase_if(ended, [acknowledged](const json& row) { return row[0] <= acknowledged; });
        const auto wait_ms = std::min(body.value("waitMs", std::int64_t{0}), max_wait_ms);
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
        const int own_life = life;
        while (ended.empty() && is_up && life == own_life && std::chrono::steady_clock::now() < until) {
            fleet.m_changed.wait_until(lock, until);
        }
        if (!is_up || life != own_life) {
            return answer(421, json::object());
        }
        json lists = {{"running", json::array()}, {"ended", json::array()}};
        for (const auto& [task, item] : running) {
            const auto percent = item.work_ms == 0 ? 0 : 100 * get_work(item) / item.work_ms;
            lists["running"].push_back(
                {task, item.run, item.saved, std::min<std::int64_t>(percent, 99), 1'000});
        }
        for (const auto& row : ended) {
            if (lists["ended"].size() < max_ended_rows) {
                lists["ended"].push_back(row);
            }
        }
        return answer(200, lists);
    }

    [[nodiscard]] http_message answer(int status, json body) const {
        http_message response;
        response.status = status;
        body["clockMs"] = get_clock();
        response.body = body.dump();
        return response;
    }

    /// Returns the work that a run has done, in milliseconds, with what its checkpoint held.
    [[nodiscard]] std::int64_t get_work(const task_run& item) const {
        const auto now = fleet.get_time_ms();
        return item.from_ms +
               (item.works_since_ms == 0 ? 0 : std::max<std::int64_t>(now - item.works_since_ms, 0));
    }

    void end_run(const std::string& task, const std::string& how) {
        const auto found = running.find(task);
        auto item = found->second;
        if (item.saves && how == "stopped" && item.works_since_ms != 0) {
            item.saved = make_checkpoint(get_work(item), task);
        }
        running.erase(found);
        auto& highest = highest_ended[task];
        highest = std::max(highest, item.run);
        const bool has_failed = how == "failed";
        ended.push_back({next_end++, task, item.run, how, has_failed ? "" : item.saved});
        fleet.note_end(item, machine, how + (item.saved.empty() ? "" : ", saved " + item.saved));
        if (item.is_gang) {
            fleet.m_present[get_gang_run(item)].erase(task);
            if (how != "done") {
                fleet.m_broken.insert(get_gang_run(item));
            }
        }
        fleet.m_changed.notify_all();
    }

    void expire_lease() {
        if (get_clock() < lease_end_ms) {
            return;
        }
        while (!running.empty()) {
            end_run(std::string(running.begin()->first), "lapsed");
        }
    }

    /// Does what is due: ends of work, stops, checkpoints, leases.
    void tick() {
        if (!is_up) {
            return;
        }
        expire_lease();
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto& [task, item] : running) {
            const auto now = fleet.get_time_ms();
            if (item.stops_at_ms != 0 && now >= item.stops_at_ms) {
                ends.emplace_back(task, "stopped");
                continue;
            }
            if (item.is_gang && update_gang(item, now, ends)) {
                continue;
            }
            const auto work = get_work(item);
            if (item.works_since_ms != 0 && work >= item.work_ms) {
                ends.emplace_back(task, "done");
                continue;
            }
            const auto saved = work / fleet.m_terms.checkpoint_ms * fleet.m_terms.checkpoint_ms;
            if (item.saves && item.works_since_ms != 0 && saved > read_checkpoint(item.saved)) {
                item.saved = make_checkpoint(saved, task);
            }
        }
        for (const auto& [task, how] : ends) {
            end_run(task, how);
        }
    }

    /// Returns true when the run of a member ends or doesn't work yet.
    bool update_gang(task_run& item, std::int64_t now,
                     std::vector<std::pair<std::string, std::string>>& ends) const {
        const auto name = get_gang_run(item);
        if (fleet.m_broken.contains(name)) {
            ends.emplace_back(item.task, "broken");
            return true;
        }
        if (item.works_since_ms != 0) {
            return false;
        }
        if (fleet.m_present[name].size() == item.members) {
            item.works_since_ms = now + (item.from_ms == 0 ? 0 : fleet.m_terms.restore_ms);
            return false;
        }
        if (now - item.began_ms >= fleet.m_terms.gang_timeout_ms) {
            ends.emplace_back(item.task, "alone");
        }
        return true;
    }

    [[nodiscard]] json make_report() const {
        const auto& terms = fleet.m_terms;
        json report = {{"service", terms.service},
                       {"addr", format_endpoint(address)},
                       {"zone", zone},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", is_draining ? "draining" : "ready"},
                       {"coldLeftMs", 0},
                       {"capacity", {{"cpu", terms.millicores}, {"memMb", terms.memory_mb}, {"gpu", 0}}},
                       {"labels", {"a", rack}},
                       {"machine", machine},
                       {"clockMs", get_clock()},
                       {"seq", sequence}};
        if (is_draining) {
            report["remainingMs"] =
                leaves_at_ms == 0 ? terms.drain_ms
                                  : std::max<std::int64_t>(leaves_at_ms - linger_ms - fleet.get_time_ms(), 0);
        }
        return report;
    }

    worker_fleet& fleet;
    std::string machine;
    endpoint address;
    std::string zone;
    std::string rack;
    std::string id;
    int life = 0;
    std::int64_t born_ms = 0;
    std::uint64_t fence = 0;
    std::uint64_t sequence = 0;
    std::uint64_t next_end = 1;
    std::int64_t lease_end_ms = 0;
    std::map<std::string, task_run> running;
    std::vector<json> ended;
    std::map<std::string, std::uint32_t> highest_ended;
    bool is_up = false;
    bool is_failing = false;
    bool is_draining = false;
    std::int64_t leaves_at_ms = 0;   ///< 0 while the draining isn't acknowledged
    std::int64_t restarts_at_ms = 0; ///< 0 for a worker that doesn't start again
    std::optional<endpoint> beat_address;
    std::size_t next_control = 0;
    std::unique_ptr<http_server> server;
};

// ---- fleet

worker_fleet::worker_fleet(worker_terms terms, record& log)
    : m_terms(std::move(terms)), m_record(log), m_start(std::chrono::steady_clock::now()) {
    m_ticks = std::thread([this] { tick_all(); });
}

worker_fleet::~worker_fleet() {
    m_is_ending = true;
    m_ticks.join();
    for (auto& thread : m_beats) {
        thread.join();
    }
    std::vector<std::unique_ptr<http_server>> servers;
    {
        const std::lock_guard lock(m_mutex);
        for (auto& [machine, item] : m_workers) {
            if (item->is_up) {
                servers.push_back(item->end("end of the test"));
            }
        }
    }
    servers.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // the connections' threads end
}

std::int64_t worker_fleet::get_time_ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start)
        .count();
}

void worker_fleet::add(const std::string& machine, const endpoint& address, const std::string& zone,
                       const std::string& rack) {
    const std::lock_guard lock(m_mutex);
    auto& item = m_workers[machine];
    item = std::make_unique<worker>(*this, machine, address, zone, rack);
    item->next_control = m_workers.size();
    item->start();
    m_beats.emplace_back([this, target = item.get()] {
        while (!m_is_ending) {
            http_message request;
            endpoint to;
            bool is_up = false;
            bool was_draining = false;
            int life = 0;
            {
                const std::lock_guard inner(m_mutex);
                is_up = target->is_up;
                life = target->life;
                was_draining = target->is_draining;
                ++target->sequence;
                to = target->beat_address.value_or(
                    m_terms.control[target->next_control % m_terms.control.size()]);
                request.method = "POST";
                request.target = "/v1/Instances.Heartbeat/" + target->id;
                request.body = target->make_report().dump();
            }
            if (is_up) {
                auto answer = call(to, request, beat_timeout_ms);
                for (int hop = 0; hop < max_redirects && answer.has_value() && answer->status == 307; ++hop) {
                    const auto place = answer->headers["location"].substr(7);
                    answer = call(parse_endpoint(place.substr(0, place.find('/'))), request, beat_timeout_ms);
                }
                const std::lock_guard inner(m_mutex);
                if (target->life == life && (!answer.has_value() || answer->status / 100 != 2)) {
                    target->beat_address.reset();
                    ++target->next_control;
                } else if (target->life == life) {
                    const auto body = json::parse(answer->body, nullptr, false);
                    const auto next = body.is_object() ? body.value("heartbeatAddr", std::string{}) : "";
                    if (!next.empty()) {
                        target->beat_address = parse_endpoint(next);
                    }
                    if (was_draining && target->leaves_at_ms == 0) {
                        target->leaves_at_ms = get_time_ms() + m_terms.drain_ms + linger_ms;
                        m_record.add("worker " + target->id + ": leaving is acknowledged");
                    }
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(m_terms.heartbeat_ms));
        }
    });
}

void worker_fleet::crash(const std::string& machine, std::int64_t down_ms) {
    std::unique_ptr<http_server> server;
    {
        const std::lock_guard lock(m_mutex);
        auto& item = *m_workers.at(machine);
        item.restarts_at_ms = get_time_ms() + down_ms;
        server = item.end("crashed");
    }
    server.reset();
}

void worker_fleet::drain(const std::string& machine) {
    const std::lock_guard lock(m_mutex);
    m_workers.at(machine)->is_draining = true;
    m_record.add("worker " + m_workers.at(machine)->id + " on " + machine + " begins to say that it leaves");
}

void worker_fleet::set_failing(const std::string& machine, bool is_failing) {
    const std::lock_guard lock(m_mutex);
    m_workers.at(machine)->is_failing = is_failing;
    m_record.add("machine " + machine + (is_failing ? " fails all that it starts" : " is sound again"));
}

void worker_fleet::tick_all() {
    while (!m_is_ending) {
        std::vector<std::unique_ptr<http_server>> servers;
        {
            const std::lock_guard lock(m_mutex);
            for (auto& [machine, item] : m_workers) {
                item->tick();
                const auto now = get_time_ms();
                if (item->is_up && item->leaves_at_ms != 0 && now >= item->leaves_at_ms) {
                    http_message request;
                    request.method = "POST";
                    request.target = "/v1/Instances.Deregister/" + item->id;
                    const auto to = item->beat_address.value_or(m_terms.control.front());
                    std::thread([to, request] { call(to, request, beat_timeout_ms); }).detach();
                    servers.push_back(item->end("left"));
                }
                if (!item->is_up && item->restarts_at_ms != 0 && now >= item->restarts_at_ms) {
                    item->restarts_at_ms = 0;
                    item->start();
                }
            }
        }
        servers.clear();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void worker_fleet::note_start(const task_run& item, const std::string& machine,
                              const std::string& checkpoint) {
    m_starts.push_back({item.task, item.run, checkpoint});
    m_record.add("start of " + item.task + " run " + std::to_string(item.run) + " on " + machine +
                 ", checkpoint \"" + checkpoint + "\"");
}

void worker_fleet::note_end(const task_run& item, const std::string& machine, const std::string& how) {
    ++m_ends[get_job(item.task)][how.substr(0, how.find(','))];
    m_record.add("end of " + item.task + " run " + std::to_string(item.run) + " on " + machine + ": " + how);
}

std::string worker_fleet::find_machine_of(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    for (const auto& [machine, item] : m_workers) {
        if (item->is_up && item->running.contains(task)) {
            return machine;
        }
    }
    return {};
}

std::vector<std::uint32_t> worker_fleet::get_starts(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::uint32_t> runs;
    for (const auto& item : m_starts) {
        if (item.task == task) {
            runs.push_back(item.run);
        }
    }
    return runs;
}

std::map<std::string, int> worker_fleet::count_ends(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    return m_ends[job];
}

std::map<std::string, std::string> worker_fleet::get_checkpoints(const std::string& step, std::uint32_t run) {
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> found;
    for (const auto& item : m_starts) {
        if (item.run == run && item.task.starts_with(step + ".")) {
            found[item.task] = item.checkpoint;
        }
    }
    return found;
}

std::int64_t worker_fleet::get_working_ms(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    for (const auto& [machine, item] : m_workers) {
        const auto found = item->running.find(task);
        if (item->is_up && found != item->running.end() && found->second.works_since_ms != 0) {
            return get_time_ms() - found->second.works_since_ms;
        }
    }
    return 0;
}

} // namespace review
