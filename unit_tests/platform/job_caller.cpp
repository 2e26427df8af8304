#include "unit_tests/platform/job_caller.h"

#include "unit_tests/platform/stand_in_workers.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/core/wall_time.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

constexpr int full_percent = 100;
constexpr int shortest_pause_ms = 60; // between two jobs
constexpr int longest_pause_ms = 200;
constexpr int repeat_pause_ms = 100; // before a request without a clear answer is sent again
constexpr int give_up_percent = 25;
constexpr int late_copy_percent = 10;
constexpr int shortest_copy_delay_ms = 1000;
constexpr int longest_copy_delay_ms = 3000;
constexpr int cancel_percent = 20; // after each submission
constexpr int most_long_running_jobs = 4;
constexpr int latest_first_due_ms = 3000;

json make_step(int count) {
    return {{"count", count}, {"cpu", 500}, {"memMb", 100}, {"estimateMs", 300}};
}

bool is_success(int status) {
    return status >= 200 && status < 300;
}

/// Returns true when the platform's page has the caller send the request again.
bool is_unclear(int status) {
    return status == 0 || status == 502 || status == 504;
}

} // namespace

/// A request that is sent again.
struct job_caller::open_request {
    std::size_t job = 0;
    bool is_cancel = false;
    time_point due{};
};

job_caller::job_caller(scheduler_cluster& cluster, int gateways, std::uint64_t seed, std::string id_prefix,
                       moment_observer observer)
    : m_cluster(cluster), m_gateways(gateways), m_id_prefix(std::move(id_prefix)),
      m_observer(std::move(observer)), m_random(seed) {
    m_thread = std::thread([this] { run(); });
}

job_caller::~job_caller() {
    m_is_stopping = true;
    m_thread.join();
}

void job_caller::end_traffic() {
    m_has_traffic = false;
}

std::vector<submitted_job> job_caller::get_jobs() const {
    const absl::MutexLock lock(&m_mutex);
    return m_jobs;
}

int job_caller::pick(int lowest, int highest) {
    return lowest + static_cast<int>(m_random() % static_cast<unsigned>(highest - lowest + 1));
}

bool job_caller::happens(int chance_percent) {
    return pick(0, full_percent - 1) < chance_percent;
}

void job_caller::run() {
    auto next_job = system_clock().now();
    while (!m_is_stopping) {
        repeat_due();
        const bool has_traffic = m_has_traffic;
        if (has_traffic && system_clock().now() >= next_job) {
            submit_next();
            if (happens(cancel_percent)) {
                cancel_one();
            }
            next_job = system_clock().now() + milliseconds{pick(shortest_pause_ms, longest_pause_ms)};
        }
        m_is_finished = !has_traffic && m_repeats.empty();
        absl::SleepFor(absl::Milliseconds(5));
    }
}

void job_caller::repeat_due() {
    const auto now = system_clock().now();
    std::vector<open_request> due;
    std::erase_if(m_repeats, [&](const open_request& item) {
        if (item.due <= now) {
            due.push_back(item);
        }
        return item.due <= now;
    });
    for (const auto& item : due) {
        if (item.is_cancel) {
            cancel(item.job);
        } else {
            post(item.job);
        }
    }
}

submitted_job job_caller::make_job() {
    submitted_job job;
    int long_running_jobs = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        job.id = absl::StrFormat("%s%04x", m_id_prefix, m_jobs.size());
        for (const auto& item : m_jobs) {
            long_running_jobs += item.kind == job_kind::long_running ? 1 : 0;
        }
    }
    job.kind = static_cast<job_kind>(pick(0, 3));
    if (job.kind == job_kind::long_running && long_running_jobs >= most_long_running_jobs) {
        job.kind = job_kind::several_steps;
    }
    json body = {{"spec", "text"}, {"steps", json::array()}};
    std::vector<int> counts;
    int occurrences = 1;
    if (job.kind == job_kind::single_step) {
        counts = {pick(1, 5)};
    } else if (job.kind == job_kind::several_steps) {
        counts = {pick(1, 3), pick(1, 3), pick(1, 3)};
    } else if (job.kind == job_kind::recurring) {
        counts = {pick(1, 2), 1};
        occurrences = pick(2, 4);
        const int wait_ms = pick(0, latest_first_due_ms);
        job.first_due = system_clock().now() + milliseconds{wait_ms};
        body["repeatCount"] = occurrences;
        body["firstMs"] = get_wall_ms() + wait_ms;
        body["intervalMs"] = pick(200, 900);
    } else {
        counts = {pick(1, 2)};
        body["spec"] = stand_in_workers::long_running_payload;
    }
    for (std::size_t step = 0; step < counts.size(); ++step) {
        auto row = make_step(counts[step]);
        if (step > 0) {
            row["dependsOn"] = {step - 1};
        }
        if (job.kind == job_kind::long_running) {
            row["longRunning"] = true;
        }
        body["steps"].push_back(row);
        for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
            for (int task = 0; task < counts[step]; ++task) {
                job.tasks.push_back(absl::StrCat(job.id, ".", occurrence, ".", step, ".", task));
            }
        }
    }
    job.body = body.dump();
    return job;
}

void job_caller::submit_next() {
    auto job = make_job();
    std::size_t index = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        index = m_jobs.size();
        m_jobs.push_back(std::move(job));
    }
    post(index);
}

void job_caller::cancel_one() {
    std::size_t index = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        index = static_cast<std::size_t>(pick(0, static_cast<int>(m_jobs.size()) - 1));
        if (!m_jobs[index].accepted_at.has_value() || m_jobs[index].is_cancelling) {
            return;
        }
        m_jobs[index].is_cancelling = true;
    }
    cancel(index);
}

int job_caller::send(const std::string& method, const std::string& id, const std::string& body) {
    const auto response =
        m_cluster.send_caller_request(method, absl::StrCat("/jobs/", id), body, pick(1, m_gateways));
    return response.has_value() ? response->status : 0;
}

void job_caller::post(std::size_t index) {
    const auto job = get_jobs()[index];
    m_observer(moment::submits, job.kind);
    const int status = send("POST", job.id, job.body);
    const auto now = system_clock().now();
    const bool is_first_acceptance = is_success(status) && !job.accepted_at.has_value();
    if (is_first_acceptance) {
        m_observer(moment::accepted, job.kind);
    }
    {
        const absl::MutexLock lock(&m_mutex);
        m_jobs[index].answers.push_back(status);
        if (is_first_acceptance) {
            m_jobs[index].accepted_at = now;
        }
    }
    if (is_unclear(status) && (job.accepted_at.has_value() || !happens(give_up_percent))) {
        m_repeats.push_back({index, false, now + milliseconds{repeat_pause_ms}});
    } else if (is_first_acceptance && happens(late_copy_percent)) {
        const milliseconds delay{pick(shortest_copy_delay_ms, longest_copy_delay_ms)};
        m_repeats.push_back({index, false, now + delay});
    }
}

void job_caller::cancel(std::size_t index) {
    const auto job = get_jobs()[index];
    m_observer(moment::cancels, job.kind);
    const int status = send("DELETE", job.id, {});
    const auto now = system_clock().now();
    const bool is_clear = is_success(status) || status == 410;
    if (is_clear) {
        m_observer(moment::cancelled, job.kind);
        const absl::MutexLock lock(&m_mutex);
        m_jobs[index].cancelled_at = now;
        return;
    }
    m_repeats.push_back({index, true, now + milliseconds{repeat_pause_ms}});
}

} // namespace poplarpitch
