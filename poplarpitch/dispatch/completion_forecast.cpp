#include "poplarpitch/dispatch/completion_forecast.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace poplarpitch {
namespace {

constexpr double drain_smoothing_s = 4;   // time constant; a step of a filling job takes 1 to 4 s
constexpr double arrival_smoothing_s = 2; // time constant; shorter than a burst
constexpr std::size_t min_samples = 3;    // of the drain rate, half a second each, before it is relied on
constexpr double max_sample_ms = 4000;    // without a task that is done, reports are taken to be missing
constexpr duration max_commit_time = seconds{2}; // a command without a result is lost after this
constexpr std::int64_t bucket_ms = 250;          // a tenth of the slack of most jobs
constexpr std::int64_t max_start_ms = 120'000;   // later starts share a bucket, which bounds their number
constexpr std::int64_t past_limit_bucket = std::numeric_limits<std::int64_t>::max();
constexpr double min_rest = 0.05; // share of the drain rate; late jobs that get less are not served

double smooth(double value, double sample, double seconds, double time_constant) {
    const double weight = 1 - std::exp(-seconds / time_constant);
    return value + weight * (sample - value);
}

duration to_duration(double milliseconds_count) {
    const auto bounded = std::clamp(milliseconds_count, 0.0,
                                    static_cast<double>(to_milliseconds(completion_forecast::unbounded)));
    return milliseconds{static_cast<std::int64_t>(bounded)};
}

std::int64_t to_bucket(time_point now, std::int64_t slack_ms) {
    return (to_milliseconds(now.time_since_epoch()) + std::min(slack_ms, max_start_ms)) / bucket_ms;
}

double add_up(std::map<std::int64_t, double>::const_iterator first,
              std::map<std::int64_t, double>::const_iterator last) {
    return std::accumulate(first, last, 0.0, [](double sum, const auto& item) { return sum + item.second; });
}

} // namespace

void completion_forecast::clear(time_point now) {
    m_flows.clear();
    m_jobs.clear();
    m_expected.clear();
    m_measured_at = now;
    m_backlog_time = duration{0};
}

void completion_forecast::on_task_done(job_id job, const room_key& room, double core_ms) {
    m_flows[room].done += core_ms;
    if (const auto found = m_jobs.find(job); found != m_jobs.end()) {
        subtract(found->second, core_ms);
    }
}

void completion_forecast::on_accepted(const job_work& job, std::optional<duration> expected, time_point now) {
    m_flows[job.room].accepted += job.core_ms;
    add_work(job, now, now);
    if (expected.has_value()) {
        m_expected[job.job] = *expected;
    }
}

std::optional<duration> completion_forecast::on_ended(job_id job) {
    if (const auto counted = m_jobs.find(job); counted != m_jobs.end()) {
        subtract(counted->second, counted->second.core_ms);
        m_jobs.erase(counted);
    }
    const auto found = m_expected.find(job);
    if (found == m_expected.end()) {
        return std::nullopt;
    }
    const auto expected = found->second;
    m_expected.erase(found);
    return expected;
}

void completion_forecast::subtract(counted_work& counted, double core_ms) {
    const auto part = std::min(core_ms, counted.core_ms);
    counted.core_ms -= part;
    counted.flow->open[counted.priority][counted.bucket] -= part;
}

void completion_forecast::add_work(const job_work& job, std::optional<time_point> admitted_at,
                                   time_point now) {
    auto& flow = m_flows[job.room];
    const auto slack_ms = job.time_left_ms - job.path_ms;
    const auto bucket = job.is_past_limit ? past_limit_bucket : to_bucket(now, slack_ms);
    auto& counted = m_jobs[job.job];
    if (counted.flow != nullptr) {
        subtract(counted, counted.core_ms);
    }
    counted = {&flow, job.priority, bucket, job.core_ms, admitted_at};
    flow.open[job.priority][bucket] += job.core_ms;
}

void completion_forecast::set_open(const std::vector<job_work>& open, time_point now) {
    absl::erase_if(m_jobs, [now](const auto& item) {
        const auto& admitted_at = item.second.admitted_at;
        return !admitted_at.has_value() || now - *admitted_at > max_commit_time;
    });
    for (auto& [room, flow] : m_flows) {
        flow.open.clear();
    }
    for (const auto& [id, counted] : m_jobs) {
        counted.flow->open[counted.priority][counted.bucket] += counted.core_ms;
    }
    for (const auto& job : open) {
        add_work(job, std::nullopt, now);
    }
}

/// A period without any task that is done is added to the next one: where tasks are long and few, leaving it
/// out would count only the periods in which one ends.
void completion_forecast::sample_drain(room_flow& flow, bool has_waiting, double passed_ms) {
    const bool counts = has_waiting && flow.has_waiting;
    flow.done_period_ms += passed_ms;
    if (counts && flow.done > 0) {
        const auto cores = flow.done / flow.done_period_ms;
        flow.drain_cores = flow.drain_cores == 0 ? cores
                                                 : smooth(flow.drain_cores, cores, flow.done_period_ms / 1000,
                                                          drain_smoothing_s);
        ++flow.samples;
    }
    if (!counts || flow.done > 0 || flow.done_period_ms >= max_sample_ms) {
        flow.done = 0;
        flow.done_period_ms = 0;
    }
}

void completion_forecast::measure(const std::vector<room_key>& waiting, time_point now) {
    const auto passed_ms = static_cast<double>(to_milliseconds(now - m_measured_at));
    if (passed_ms <= 0) {
        return;
    }
    m_measured_at = now;
    for (const auto& room : waiting) {
        m_flows.try_emplace(room);
    }
    for (auto& [room, flow] : m_flows) {
        const bool has_waiting = std::find(waiting.begin(), waiting.end(), room) != waiting.end();
        sample_drain(flow, has_waiting, passed_ms);
        flow.arrival_cores =
            smooth(flow.arrival_cores, flow.accepted / passed_ms, passed_ms / 1000, arrival_smoothing_s);
        flow.has_waiting = has_waiting;
        flow.accepted = 0;
    }
    m_backlog_time = measure_backlog_time();
}

const completion_forecast::room_flow* completion_forecast::find_flow(const room_key& room) const {
    const auto found = m_flows.find(room);
    const bool is_known =
        found != m_flows.end() && found->second.samples >= min_samples && found->second.drain_cores > 0;
    return is_known ? &found->second : nullptr;
}

completion_forecast::work_ahead completion_forecast::get_work_ahead(const room_flow& flow,
                                                                    const job_work& job, time_point now) {
    work_ahead ahead;
    for (const auto& [priority, work] : flow.open) {
        if (priority > job.priority) {
            break;
        }
        if (priority < job.priority) {
            const auto sum = add_up(work.begin(), work.end());
            ahead.in_time += sum;
            ahead.all += sum;
            continue;
        }
        const auto first_in_time = work.lower_bound(to_bucket(now, 0));
        const auto behind =
            work.upper_bound(to_bucket(now, std::max<std::int64_t>(job.time_left_ms - job.path_ms, 0)));
        ahead.in_time += add_up(first_in_time, behind);
        ahead.all += add_up(work.begin(), work.lower_bound(past_limit_bucket));
    }
    return ahead;
}

std::optional<duration> completion_forecast::forecast(const job_work& job, double promised_core_ms,
                                                      time_point now) const {
    const auto* flow = find_flow(job.room);
    if (flow == nullptr || !flow->has_waiting) {
        return std::nullopt;
    }
    const auto ahead = get_work_ahead(*flow, job, now);
    const auto in_time_ms =
        (ahead.in_time + promised_core_ms) / flow->drain_cores + static_cast<double>(job.path_ms);
    if (in_time_ms <= static_cast<double>(job.time_left_ms)) {
        return to_duration(in_time_ms);
    }
    const auto rest = flow->drain_cores - flow->arrival_cores;
    if (rest < min_rest * flow->drain_cores) {
        return unbounded;
    }
    return to_duration((ahead.all + promised_core_ms) / rest + static_cast<double>(job.path_ms));
}

duration completion_forecast::get_time_until_room(const job_work& job, double promised_core_ms,
                                                  time_point now) const {
    const auto* flow = find_flow(job.room);
    if (flow == nullptr) {
        return duration{0};
    }
    // Jobs in time outrank late ones. Those that return leave room for what was accepted and is late, or it
    // would be past its late limit before the load ends.
    const auto late = flow->open.find(job.priority);
    const auto late_core_ms = late == flow->open.end()
                                  ? 0
                                  : add_up(late->second.begin(), late->second.lower_bound(to_bucket(now, 0)));
    const auto late_ms = late_core_ms / flow->drain_cores;
    const auto slack_ms = std::max(static_cast<double>(job.time_left_ms - job.path_ms) - late_ms, 0.0);
    const auto work = get_work_ahead(*flow, job, now).in_time + promised_core_ms + job.core_ms;
    return to_duration(work / flow->drain_cores + late_ms - slack_ms);
}

double completion_forecast::get_drain(const room_key& room) const {
    const auto* flow = find_flow(room);
    return flow == nullptr ? 0 : flow->drain_cores;
}

duration completion_forecast::measure_backlog_time() const {
    duration longest{};
    for (const auto& [room, flow] : m_flows) {
        if (find_flow(room) == nullptr || !flow.has_waiting) {
            continue;
        }
        double core_ms = 0;
        for (const auto& [priority, work] : flow.open) {
            core_ms += add_up(work.begin(), work.end());
        }
        longest = std::max(longest, to_duration(core_ms / flow.drain_cores));
    }
    return longest;
}

std::string completion_forecast::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    job_wire::learned_drains message;
    for (const auto& [room, flow] : m_flows) {
        if (find_flow(room) != nullptr) {
            auto& item = *message.add_drains();
            item.set_pool(room.pool);
            item.set_is_filling(room.is_filling);
            item.set_cores(std::round(flow.drain_cores));
        }
    }
    while (message.ByteSizeLong() > max_bytes) {
        message.mutable_drains()->RemoveLast();
    }
    return message.SerializeAsString();
}

bool completion_forecast::load(std::string_view body, std::int64_t /*wall_ms*/) {
    job_wire::learned_drains message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    for (auto& [room, flow] : m_flows) {
        flow.drain_cores = 0;
        flow.samples = 0;
    }
    for (const auto& item : message.drains()) {
        if (std::isfinite(item.cores()) && item.cores() > 0) {
            auto& flow = m_flows[{item.pool(), item.is_filling()}];
            flow.drain_cores = item.cores();
            flow.samples = min_samples;
        }
    }
    return true;
}

} // namespace poplarpitch
