#include "poplarpitch/stand_in/stand_in_worker.h"

#include "poplarpitch/entry/announcement_codec.h"
#include "poplarpitch/entry/protocol_names.h"
#include "poplarpitch/stand_in/run_record.h"
#include "poplarpitch/telemetry/log_event.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unistd.h>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

// Identifies a request in the run record; chosen by the caller.
constexpr const char* check_id_header = "X-Check-Id";
constexpr duration announce_timeout = seconds{2};
constexpr duration first_interval = milliseconds{200};
// For requests sent before the owner knew that the worker leaves.
constexpr duration leave_grace_period = milliseconds{300};
constexpr duration task_step = milliseconds{50};
constexpr int server_threads = 256;

std::uint64_t make_incarnation(int number) {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<milliseconds>(since).count();
    return static_cast<std::uint64_t>(ms) * 4096 + static_cast<std::uint64_t>(number % 4096);
}

http_server_settings make_server_settings(const stand_in_settings& settings) {
    http_server_settings server;
    server.host = settings.host;
    server.max_connections = server_threads;
    return server;
}

/// Returns the run time from a payload such as `ms=1500;fail`, or `declared` when the payload contains none.
duration parse_run_time(const std::string& payload, duration declared) {
    for (const auto part : absl::StrSplit(payload, ';')) {
        std::int64_t value = 0;
        if (absl::StartsWith(part, "ms=") && absl::SimpleAtoi(part.substr(3), &value)) {
            return milliseconds{value};
        }
    }
    return declared;
}

} // namespace

stand_in_worker::stand_in_worker(const stand_in_settings& settings, int number, run_record& record)
    : m_settings(settings), m_id(absl::StrCat(settings.id, "-", number)),
      m_data_centre(settings.data_centres[static_cast<std::size_t>(number) % settings.data_centres.size()]),
      m_rack(absl::StrCat("rack-", number / settings.rack_size)),
      m_time_factor(number % 100 < settings.old_share * 100 || (settings.old_share >= 0.5 && number % 2 == 0)
                        ? settings.old_factor
                        : 1.0),
      m_incarnation(make_incarnation(number)), m_record(record), m_entries(http_client_settings{}),
      m_server(make_server_settings(settings),
               [this](const http_request& request) { return handle(request); }),
      m_random(static_cast<std::uint64_t>(number)), m_tasks(settings, m_id, m_time_factor, record) {}

stand_in_worker::~stand_in_worker() {
    stop();
}

int stand_in_worker::start() {
    const auto port = m_server.start();
    if (!port) {
        return 0;
    }
    m_address = absl::StrCat(m_settings.host, ":", port.value());
    m_announcer = std::thread([this] { announce_until_stopped(); });
    return port.value();
}

void stand_in_worker::leave() {
    const absl::MutexLock lock(&m_mutex);
    m_is_leaving = true;
}

void stand_in_worker::stop() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_is_stopped = true;
    }
    m_server.stop();
    if (m_announcer.joinable()) {
        m_announcer.join();
    }
}

bool stand_in_worker::can_stop() {
    const absl::MutexLock lock(&m_mutex);
    const bool is_known = m_leaving_acknowledged_time != time_point{} &&
                          m_clock.now() - m_leaving_acknowledged_time >= leave_grace_period;
    return is_known && m_requests.empty() && m_tasks.is_idle();
}

// ---- requests and tasks

http_response stand_in_worker::refuse(const std::string& reason) {
    auto response = make_error_response(409, "refused", reason);
    response.headers.add(header_refused, reason);
    return response;
}

http_response stand_in_worker::handle(const http_request& request) {
    const auto path = request.get_path();
    http_response response;
    if (absl::StartsWith(path, "/v1/requests/")) {
        response = serve(request);
    } else if (path == "/v1/tasks" && request.method == "POST") {
        response = start_task(request);
    } else if (absl::StartsWith(path, "/v1/tasks/")) {
        const std::vector<std::string> parts = absl::StrSplit(path, '/', absl::SkipEmpty());
        response = parts.size() == 4
                       ? control_task(absl::StrReplaceAll(parts[2], {{"%23", "#"}}), parts[3], request)
                       : make_error_response(404, "not_found", "no such path");
    } else if (absl::StartsWith(path, "/stand-in/")) {
        response = set_fault(path.substr(std::string_view("/stand-in/").size()), request);
    } else {
        response = make_error_response(404, "not_found", "no such path");
    }
    const auto id = request.headers.get(header_request_id);
    if (!id.empty()) {
        response.headers.add(header_request_id, id);
    }
    return response;
}

bool stand_in_worker::has_room(const resources& need) const {
    auto used = m_tasks.get_reserved();
    used.slots += static_cast<std::int64_t>(m_requests.size());
    return m_settings.capacity.can_fit(used + need);
}

duration stand_in_worker::sample_service_time(const std::string& service) {
    stand_in_service settings;
    for (const auto& known : m_settings.services) {
        if (known.name == service) {
            settings = known;
        }
    }
    std::normal_distribution<double> normal(0, settings.jitter);
    const auto slowdown = m_service_slowdown.find(service);
    const double fault = slowdown == m_service_slowdown.end() ? 1 : slowdown->second;
    const double factor = m_time_factor * fault * (1 + m_tasks.get_growth()) * std::exp(normal(m_random));
    return duration{static_cast<std::int64_t>(static_cast<double>(settings.time.count()) * factor)};
}

http_response stand_in_worker::serve(const http_request& request) {
    const std::vector<std::string> parts = absl::StrSplit(request.get_path(), '/', absl::SkipEmpty());
    if (parts.size() < 3) {
        return make_error_response(404, "not_found", "no service named");
    }
    const auto id = request.headers.get(header_request_id);
    const auto detail = absl::StrCat(request.headers.get(check_id_header), "|", parts[2], "|",
                                     request.headers.get(header_idempotent));
    std::uint64_t epoch = 0;
    static_cast<void>(absl::SimpleAtoi(request.headers.get(header_epoch), &epoch));
    duration time{};
    bool is_failing = false;
    {
        const absl::MutexLock lock(&m_mutex);
        if (epoch < m_epoch) {
            return refuse("stale-epoch");
        }
        if (!has_room({1, 0, 0, 0})) {
            m_record.write("overcommit", m_id, id, detail);
            return refuse("full");
        }
        m_requests[id] = {epoch};
        is_failing = m_is_failing;
        time = sample_service_time(parts[2]);
        if (time.count() == 0) {
            time = duration{1};
        }
    }
    m_record.write("request-start", m_id, id, detail);
    if (time > std::chrono::microseconds{2}) {
        absl::SleepFor(absl::Nanoseconds(time.count()));
    }
    m_record.write("request-end", m_id, id, detail);
    {
        const absl::MutexLock lock(&m_mutex);
        m_requests.erase(id);
    }
    if (is_failing) {
        return make_error_response(500, "broken", "this target fails everything");
    }
    http_response response;
    response.content_type = request.headers.get("Content-Type");
    response.headers.add("X-Worker", m_id);
    response.body = request.body;
    return response;
}

http_response stand_in_worker::start_task(const http_request& request) {
    const auto object = json::parse(request.body, nullptr, false);
    if (object.is_discarded()) {
        return make_error_response(400, "bad_task", "no JSON");
    }
    simulated_task task;
    task.job = object.value("job", "");
    task.attempt = object.value("attempt", std::uint64_t{0});
    task.batch = object.value("batch", "");
    task.payload = object.value("payload", "");
    task.reserved = {object.value("slots", std::int64_t{0}), object.value("millicores", std::int64_t{0}),
                     object.value("memory", std::int64_t{0}), object.value("accelerators", std::int64_t{0})};
    task.declared_millicores = object.value("declared_millicores", task.reserved.millicores);
    task.declared = milliseconds{object.value("run_time_ms", std::int64_t{0})};
    task.total = parse_run_time(task.payload, task.declared);
    std::int64_t saved_ms = 0;
    static_cast<void>(absl::SimpleAtoi(object.value("checkpoint", ""), &saved_ms));
    task.saved = milliseconds{saved_ms};
    task.done = task.saved;
    const auto attempt_id = task_simulator::make_attempt_id(task.job, task.attempt);
    const auto epoch = object.value("epoch", std::uint64_t{0});

    const absl::MutexLock lock(&m_mutex);
    if (m_tasks.has_seen(attempt_id)) {
        http_response response; // an earlier copy of this request started it
        response.body = "{\"started\":true}";
        return response;
    }
    if (epoch < m_epoch) {
        return refuse("stale-epoch");
    }
    if (object.value("incarnation", std::uint64_t{0}) != m_incarnation) {
        return refuse("other-process");
    }
    if (m_is_leaving) {
        return refuse("leaving");
    }
    if (!has_room(task.reserved)) {
        m_record.write("overcommit", m_id, attempt_id, task.batch);
        return refuse("full");
    }
    const auto now = m_clock.now();
    task.lease_end = now + milliseconds{object.value("lease_ms", std::int64_t{10000})};
    m_tasks.start(std::move(task), now);
    http_response response;
    response.body = "{\"started\":true}";
    return response;
}

http_response stand_in_worker::control_task(const std::string& attempt_id, const std::string& verb,
                                            const http_request& request) {
    std::uint64_t epoch = 0;
    static_cast<void>(absl::SimpleAtoi(request.headers.get(header_epoch), &epoch));
    const absl::MutexLock lock(&m_mutex);
    if (epoch < m_epoch) {
        return refuse("stale-epoch");
    }
    const auto now = m_clock.now();
    m_tasks.advance(now, m_is_failing);
    if (!m_tasks.apply_verb(attempt_id, verb, now, m_task_lease)) {
        return make_error_response(404, "not_found", "no such verb");
    }
    http_response response;
    response.body = "{}";
    return response;
}

http_response stand_in_worker::set_fault(const std::string& name, const http_request& request) {
    const bool is_on = request.get_query("on") != "false";
    const absl::MutexLock lock(&m_mutex);
    if (name == "leave") {
        m_is_leaving = is_on;
    } else if (name == "fail") {
        m_is_failing = is_on;
    } else if (name == "mute") {
        m_is_mute = is_on;
    } else if (name == "slow") {
        double factor = 1;
        static_cast<void>(absl::SimpleAtod(request.get_query("factor"), &factor));
        m_service_slowdown[request.get_query("service")] = is_on ? factor : 1;
    } else {
        return make_error_response(404, "not_found", "no such fault");
    }
    http_response response;
    response.body = "{}";
    return response;
}

// ---- announcements

announcement stand_in_worker::make_announcement() {
    const absl::MutexLock lock(&m_mutex);
    m_tasks.advance(m_clock.now(), m_is_failing);
    announcement message;
    message.id = m_id;
    message.address = m_address;
    message.data_centre = m_data_centre;
    message.rack = m_rack;
    message.speed_class = m_time_factor > 1 ? "old" : "new";
    for (const auto& service : m_settings.services) {
        message.services.push_back(service.name);
    }
    message.capacity = m_settings.capacity;
    message.epoch = m_epoch;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    message.is_leaving = m_is_leaving;
    message.is_complete = m_wants_complete || m_sequence % 16 == 0;
    for (const auto& [id, request] : m_requests) {
        message.requests.push_back(id);
        if (request.epoch < m_epoch) {
            message.old_epoch_usage.slots += 1;
        }
    }
    if (message.is_complete) {
        message.tasks = m_tasks.list_running();
    }
    message.reports = m_tasks.get_reports();
    return message;
}

void stand_in_worker::handle_answer(const announcement& message, const announce_answer& answer,
                                    time_point sent) {
    const absl::MutexLock lock(&m_mutex);
    const bool is_owner = answer.epoch != 0 && answer.epoch == message.epoch;
    if (message.is_leaving && is_owner && m_leaving_acknowledged_time == time_point{}) {
        m_leaving_acknowledged_time = m_clock.now();
    }
    m_wants_complete = answer.wants_complete;
    if (answer.epoch > m_epoch) {
        m_epoch = answer.epoch;
        m_wants_complete = true;
    }
    if (answer.interval.count() > 0) {
        m_interval = answer.interval;
    }
    if (answer.task_lease.count() > 0) {
        m_task_lease = answer.task_lease;
    }
    m_owner_address = answer.owner_address;
    m_tasks.acknowledge(answer.acknowledged);
    if (answer.is_renewed) {
        // The lease counts from when the announcement was sent, because its answer may have been delayed.
        m_tasks.renew(sent + m_task_lease);
    }
}

void stand_in_worker::announce_once() {
    std::string address;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_is_mute) {
            return;
        }
        address = m_owner_address.empty() ? m_settings.entries[m_next_entry % m_settings.entries.size()]
                                          : m_owner_address;
    }
    const auto message = make_announcement();
    http_request request;
    request.method = "POST";
    request.target = "/v1/targets/announce";
    request.body = encode_announcement(message);
    request.headers.add("Content-Type", "application/json");
    const auto sent = m_clock.now();
    // Each announcement uses a new connection and closes it at once: cpp-httplib wakes a server thread 100
    // times a second for each idle connection, which costs an entry more than a new connection.
    const auto exchange = m_entries.send(address, request, sent + announce_timeout, connection_choice::fresh);
    m_entries.drop(address);
    const bool is_good = exchange.progress == exchange_progress::answered && exchange.response.status == 200;
    if (is_good) {
        const auto decoded = decode_announce_answer(exchange.response.body);
        if (const auto* answer = std::get_if<announce_answer>(&decoded)) {
            handle_answer(message, *answer, sent);
            return;
        }
    } else if (exchange.progress == exchange_progress::answered && exchange.response.status / 100 == 4) {
        log_event(log_level::warn, "announcement_refused")
            .add("worker", m_id)
            .add("reason", exchange.response.body);
    }
    const absl::MutexLock lock(&m_mutex);
    m_owner_address.clear();
    ++m_next_entry;
}

void stand_in_worker::announce_until_stopped() {
    auto next = m_clock.now();
    while (true) {
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_is_stopped) {
                return;
            }
            m_tasks.advance(m_clock.now(), m_is_failing);
        }
        if (m_clock.now() >= next) {
            announce_once();
            const absl::MutexLock lock(&m_mutex);
            // Announces again soon while information has to be exchanged, otherwise at the normal interval.
            const bool is_urgent = m_wants_complete || m_owner_address.empty() ||
                                   !m_tasks.get_reports().empty() ||
                                   (m_is_leaving && m_leaving_acknowledged_time == time_point{});
            next = m_clock.now() + (is_urgent ? std::min(first_interval, m_interval) : m_interval);
        }
        absl::SleepFor(absl::Nanoseconds(task_step.count()));
    }
}

} // namespace poplarpitch
