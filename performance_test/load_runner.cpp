#include "performance_test/load_runner.h"

#include "poplarpitch/entry/protocol_names.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace poplarpitch {
namespace {

constexpr const char* entry_prefix = "/v1/call/";
constexpr double submit_share = 0.8; // of the run's duration, so that the last jobs also run under load
constexpr duration answer_timeout = seconds{20};
constexpr duration cancel_delay = milliseconds{700};

http_client_settings make_settings() {
    http_client_settings settings;
    settings.max_idle = 2048;
    settings.connect_timeout = seconds{3};
    return settings;
}

bool is_terminal_state(const std::string& state) {
    return !state.empty() && state != "queued" && state != "assigned" && state != "running";
}

/// Returns the error code of an answer, or its HTTP status when it contains no code.
std::string parse_error_code(const http_response& response) {
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool has_code = body.is_object() && body.contains("error") && body["error"].is_object();
    return has_code ? body["error"].value("code", "") : absl::StrCat("status_", response.status);
}

void sleep_for(duration time) {
    if (time.count() > 0) {
        absl::SleepFor(absl::Nanoseconds(time.count()));
    }
}

duration from_seconds(double value) {
    return duration{static_cast<std::int64_t>(value * 1e9)};
}

} // namespace

load_runner::load_runner(load_plan plan) : m_plan(std::move(plan)), m_pool(make_settings()) {}

void load_runner::run() {
    m_begin = m_clock.now();
    m_end = m_begin + from_seconds(m_plan.seconds);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(m_plan.callers));
    for (int caller = 0; caller < m_plan.callers; ++caller) {
        threads.emplace_back([this, caller] { call_until_end(caller); });
    }
    std::thread submitter([this] { submit_jobs(); });
    for (auto& thread : threads) {
        thread.join();
    }
    submitter.join();
}

void load_runner::wait_for_jobs(duration limit) {
    const auto end = m_clock.now() + limit;
    for (auto& [id, job] : m_jobs) {
        while (m_clock.now() < end) {
            job = nlohmann::json::parse(send_to_any_entry("GET", "/v1/jobs/" + id, ""), nullptr, false);
            if (job.is_object() && is_terminal_state(job.value("state", ""))) {
                break;
            }
            sleep_for(milliseconds{100});
        }
    }
}

int load_runner::report(const std::vector<std::string>& records, const std::set<std::string>& killed) {
    print_services();
    print_batches();
    if (records.empty()) {
        return 0;
    }
    record_checker checker;
    for (const auto& record : records) {
        if (!checker.read_file(record)) {
            std::cerr << "cannot read " << record << "\n";
            return 2;
        }
    }
    std::vector<std::string> done;
    for (const auto& [id, job] : m_jobs) {
        if (job.is_object() && job.value("state", "") == "done") {
            done.push_back(id);
        }
    }
    const absl::MutexLock lock(&m_mutex);
    auto promises = checker.check_calls(m_calls);
    const auto tasks = checker.check_tasks(done, killed);
    promises.kept += tasks.kept;
    promises.broken.insert(promises.broken.end(), tasks.broken.begin(), tasks.broken.end());
    for (const auto& broken : promises.broken) {
        std::cout << "broken: " << broken << "\n";
    }
    std::cout << "promises kept=" << promises.kept << " broken=" << promises.broken.size() << "\n";
    return promises.broken.empty() ? 0 : 1;
}

// ---- requests

duration load_runner::get_pause(time_point now) const {
    if (m_plan.rates.empty()) {
        return duration{0};
    }
    const double elapsed = to_seconds(now - m_begin) / m_plan.seconds;
    const auto steps = m_plan.rates.size();
    const auto step = std::min(static_cast<std::size_t>(elapsed * static_cast<double>(steps)), steps - 1);
    return from_seconds(m_plan.callers / m_plan.rates[step]);
}

void load_runner::call_until_end(int caller) {
    std::mt19937_64 random(static_cast<std::uint64_t>(caller) + 1);
    const std::string body(m_plan.body, 'x');
    std::map<std::string, load_result> results;
    std::vector<observed_call> calls;
    std::exponential_distribution<double> interval(1.0);
    const auto draw_interval = [&](time_point now) {
        return duration{
            static_cast<std::int64_t>(static_cast<double>(get_pause(now).count()) * interval(random))};
    };
    auto due = m_clock.now() + draw_interval(m_begin);
    for (std::int64_t number = 0; m_clock.now() < m_end; ++number) {
        const bool is_paced = !m_plan.rates.empty();
        if (is_paced) {
            sleep_for(due - m_clock.now());
        }
        const auto& service = pick_service(random);
        observed_call call;
        call.check_id = absl::StrCat(m_plan.run_id, "-", caller, "-", number);
        call.service = service.name;
        call.is_idempotent = service.is_idempotent;
        // With a rate, latency counts from when the request was due, because a late start is also a delay of
        // the system.
        const auto begin = is_paced ? due : m_clock.now();
        const auto reason = send(call, body, random);
        auto& result = results[service.name];
        ++result.sent;
        ++result.outcomes[call.outcome];
        if (!reason.empty()) {
            ++result.reasons[reason];
        }
        if (call.outcome == outcome_done) {
            result.latency_us.push_back(to_microseconds(m_clock.now() - begin));
        }
        if (m_plan.is_checked) {
            calls.push_back(std::move(call));
        }
        due += draw_interval(due);
    }
    const absl::MutexLock lock(&m_mutex);
    for (const auto& [name, result] : results) {
        m_results[name].merge(result);
    }
    m_calls.insert(m_calls.end(), calls.begin(), calls.end());
}

const load_service& load_runner::pick_service(std::mt19937_64& random) const {
    double total = 0;
    for (const auto& service : m_plan.services) {
        total += service.share;
    }
    std::uniform_real_distribution<double> draw(0, total);
    double remaining = draw(random);
    for (const auto& service : m_plan.services) {
        remaining -= service.share;
        if (remaining <= 0) {
            return service;
        }
    }
    return m_plan.services.back();
}

std::string load_runner::send(observed_call& call, const std::string& body, std::mt19937_64& random) {
    auto reason = send_once(call, body, random);
    for (int resend = 0; resend < m_plan.resends && call.outcome == outcome_not_run; ++resend) {
        reason = send_once(call, body, random);
    }
    return reason;
}

std::string load_runner::send_once(observed_call& call, const std::string& body, std::mt19937_64& random) {
    http_request request;
    request.method = "POST";
    request.target = m_plan.path_prefix + call.service;
    request.body = body;
    request.headers.add("Content-Type", "application/octet-stream");
    request.headers.add("X-Check-Id", call.check_id);
    request.headers.add(header_idempotent, call.is_idempotent ? "true" : "false");
    if (m_plan.path_prefix != entry_prefix) {
        // Sends directly to a target, as an entry would.
        request.headers.add(header_request_id, call.check_id);
        request.headers.add(header_epoch, "999999999");
    } else if (!m_plan.tenants.empty()) {
        request.headers.add(header_tenant, m_plan.tenants[random() % m_plan.tenants.size()]);
    }
    // Tries the next entry when one cannot be reached, as a load balancer would.
    auto place = random() % m_plan.entries.size();
    http_exchange exchange;
    for (std::size_t attempt = 0; attempt < m_plan.entries.size(); ++attempt, ++place) {
        exchange = m_pool.send(m_plan.entries[place % m_plan.entries.size()], request,
                               m_clock.now() + answer_timeout, connection_choice::pooled);
        const bool is_stopping = exchange.progress == exchange_progress::answered &&
                                 exchange.response.status == 503 && m_plan.entries.size() > 1 &&
                                 exchange.response.body.find("no_control") != std::string::npos;
        if (exchange.progress != exchange_progress::not_sent && !is_stopping) {
            break;
        }
    }
    if (exchange.progress == exchange_progress::answered) {
        call.outcome = exchange.response.headers.get(header_outcome);
        if (call.outcome.empty()) {
            call.outcome = exchange.response.status == 200 ? outcome_done : outcome_not_run;
        }
        // A target returns the body of the request, except in error answers, which cannot be compared.
        const bool is_echo = call.outcome == outcome_done && exchange.response.status == 200;
        call.is_body_intact = !is_echo || exchange.response.body == body;
    } else {
        call.outcome = exchange.progress == exchange_progress::not_sent ? outcome_not_run : "cut";
        return call.outcome == outcome_not_run ? "not_sent" : "cut";
    }
    return call.outcome == outcome_done ? "" : parse_error_code(exchange.response);
}

// ---- jobs

nlohmann::json load_runner::make_job(int number) const {
    const auto place = static_cast<std::size_t>(number);
    nlohmann::json job = {{"id", absl::StrCat(m_plan.run_id, "-job-", number)},
                          {"tenant", m_plan.tenants[place % m_plan.tenants.size()]},
                          {"batch", m_plan.batches[place % m_plan.batches.size()]}};
    if (!m_plan.payload.empty()) {
        job["payload"] = m_plan.payload;
    }
    return job;
}

void load_runner::submit_jobs() {
    if (m_plan.job_waves == 0) {
        submit_evenly();
        return;
    }
    const int count = m_plan.jobs / m_plan.job_waves;
    const auto interval = from_seconds(submit_share * m_plan.seconds / m_plan.job_waves);
    for (int wave = 0; wave < m_plan.job_waves; ++wave) {
        const auto begin = m_clock.now();
        submit_wave(wave * count, count);
        if (m_plan.cancel_share > 0) {
            sleep_for(cancel_delay);
            cancel_some(wave * count, count);
        }
        sleep_for(begin + interval - m_clock.now());
    }
}

void load_runner::submit_evenly() {
    for (int number = 0; number < m_plan.jobs; ++number) {
        const auto job = make_job(number);
        const auto body = send_to_any_entry("POST", "/v1/jobs", job.dump());
        m_jobs[job["id"]] = nlohmann::json::parse(body, nullptr, false);
        sleep_for(from_seconds(submit_share * m_plan.seconds / m_plan.jobs));
    }
}

void load_runner::submit_wave(int first, int count) {
    constexpr int max_jobs_per_call = 256;
    for (int number = first; number < first + count;) {
        nlohmann::json jobs = nlohmann::json::array();
        for (; number < first + count && jobs.size() < max_jobs_per_call; ++number) {
            jobs.push_back(make_job(number));
            m_jobs[jobs.back()["id"]] = nlohmann::json();
        }
        send_to_any_entry("POST", "/v1/jobs/submit", nlohmann::json{{"jobs", jobs}}.dump());
    }
}

void load_runner::cancel_some(int first, int count) {
    nlohmann::json ids = nlohmann::json::array();
    const int last = first + static_cast<int>(m_plan.cancel_share * count);
    for (int number = first; number < last; ++number) {
        ids.push_back(make_job(number)["id"]);
    }
    if (!ids.empty()) {
        send_to_any_entry("POST", "/v1/jobs/cancel", nlohmann::json{{"ids", ids}}.dump());
    }
}

std::string load_runner::send_to_any_entry(const std::string& method, const std::string& target,
                                           const std::string& body) {
    constexpr int max_attempts = 20;
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        for (const auto& entry : m_plan.entries) {
            const auto exchange =
                m_pool.send(entry, request, m_clock.now() + seconds{5}, connection_choice::fresh);
            if (exchange.progress == exchange_progress::answered && exchange.response.status < 500) {
                return exchange.response.body;
            }
        }
        sleep_for(milliseconds{100});
    }
    return "";
}

// ---- report

void load_runner::print_services() {
    std::cout << absl::StreamFormat("%-18s %9s %9s %8s %8s %6s %9s %9s %9s\n", "service", "sent", "done",
                                    "not-run", "unknown", "cut", "p50 ms", "p99 ms", "p99.9 ms");
    const auto print = [](const std::string& name, load_result& result) {
        std::cout << absl::StreamFormat("%-18s %9d %9d %8d %8d %6d %9.3f %9.3f %9.3f\n", name, result.sent,
                                        result.get_count(outcome_done), result.get_count(outcome_not_run),
                                        result.get_count(outcome_unknown), result.get_count("cut"),
                                        result.get_quantile(0.5) / 1000, result.get_quantile(0.99) / 1000,
                                        result.get_quantile(0.999) / 1000);
    };
    load_result all;
    const absl::MutexLock lock(&m_mutex);
    for (auto& [name, result] : m_results) {
        all.merge(result);
        print(name, result);
    }
    if (m_results.size() > 1) {
        print("(all)", all);
    }
    std::cout << "reasons:";
    for (const auto& [code, count] : all.reasons) {
        std::cout << " " << code << "=" << count;
    }
    std::cout << "\n";
    const auto done = static_cast<double>(all.get_count(outcome_done));
    std::cout << absl::StreamFormat("requests done a second: %.0f\n", done / m_plan.seconds);
}

void load_runner::print_batches() {
    struct totals {
        int submitted = 0;
        int done = 0;
        int evictions = 0;
        std::map<std::string, int> others;
    };
    std::map<std::string, totals> classes;
    for (const auto& [id, job] : m_jobs) {
        if (!job.is_object() || !job.contains("batch")) {
            continue;
        }
        auto& entry = classes[job.value("batch", "")];
        ++entry.submitted;
        const auto state = job.value("state", "");
        if (state == "done") {
            ++entry.done;
        } else {
            ++entry.others[state];
        }
        entry.evictions += job.value("evictions", 0);
    }
    for (const auto& [name, entry] : classes) {
        std::cout << absl::StreamFormat("batch %-18s submitted=%d done=%d evictions=%d", name,
                                        entry.submitted, entry.done, entry.evictions);
        for (const auto& [state, count] : entry.others) {
            std::cout << " " << state << "=" << count;
        }
        std::cout << "\n";
    }
}

} // namespace poplarpitch
