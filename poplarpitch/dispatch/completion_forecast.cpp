#include "poplarpitch/dispatch/completion_forecast.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr double drain_smoothing_s = 4;   // time constant; a step of a filling job takes 1 to 4 s
constexpr double arrival_smoothing_s = 2; // time constant; shorter than a burst
constexpr std::size_t min_samples = 3;    // of the drain rate, half a second each, before it is relied on
constexpr double min_rest = 0.05;         // share of the drain rate; late jobs that get less are not served

double smooth(double value, double sample, double seconds, double time_constant) {
    const double weight = 1 - std::exp(-seconds / time_constant);
    return value + weight * (sample - value);
}

duration to_duration(double milliseconds_count) {
    const auto bounded = std::clamp(milliseconds_count, 0.0,
                                    static_cast<double>(to_milliseconds(completion_forecast::unbounded)));
    return milliseconds{static_cast<std::int64_t>(bounded)};
}

} // namespace

void completion_forecast::clear(time_point now) {
    m_flows.clear();
    m_open.clear();
    m_expected.clear();
    m_updated_at = now;
    m_backlog_time = duration{0};
}

void completion_forecast::on_task_done(const room_key& room, double core_ms) {
    m_flows[room].done += core_ms;
}

void completion_forecast::on_accepted(const job_work& job, std::optional<duration> expected) {
    m_flows[job.room].accepted += job.core_ms;
    m_open.push_back(job);
    if (expected.has_value()) {
        m_expected[job.job] = *expected;
    }
}

std::optional<duration> completion_forecast::take_expected(job_id job) {
    const auto found = m_expected.find(job);
    if (found == m_expected.end()) {
        return std::nullopt;
    }
    const auto expected = found->second;
    m_expected.erase(found);
    return expected;
}

void completion_forecast::update(std::vector<job_work> open, const std::vector<room_key>& waiting,
                                 time_point now) {
    const auto passed_ms = static_cast<double>(to_milliseconds(now - m_updated_at));
    if (passed_ms <= 0) {
        return;
    }
    m_updated_at = now;
    m_open = std::move(open);
    for (const auto& room : waiting) {
        m_flows.try_emplace(room);
    }
    for (auto& [room, flow] : m_flows) {
        const bool has_waiting = std::find(waiting.begin(), waiting.end(), room) != waiting.end();
        const auto done_cores = flow.done / passed_ms;
        if (has_waiting && flow.has_waiting && done_cores > 0) {
            flow.drain_cores = flow.drain_cores == 0 ? done_cores
                                                     : smooth(flow.drain_cores, done_cores, passed_ms / 1000,
                                                              drain_smoothing_s);
            ++flow.samples;
        }
        flow.arrival_cores =
            smooth(flow.arrival_cores, flow.accepted / passed_ms, passed_ms / 1000, arrival_smoothing_s);
        flow.has_waiting = has_waiting;
        flow.done = 0;
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

completion_forecast::work_ahead completion_forecast::get_work_ahead(const job_work& job) const {
    work_ahead ahead;
    for (const auto& other : m_open) {
        if (other.room != job.room || other.priority > job.priority || other.job == job.job) {
            continue;
        }
        ahead.all += other.core_ms;
        const bool is_first = other.priority < job.priority ||
                              (other.may_be_in_time() && other.time_left_ms <= job.time_left_ms);
        ahead.in_time += is_first ? other.core_ms : 0;
    }
    return ahead;
}

std::optional<duration> completion_forecast::forecast(const job_work& job) const {
    const auto* flow = find_flow(job.room);
    if (flow == nullptr || !flow->has_waiting) {
        return std::nullopt;
    }
    const auto ahead = get_work_ahead(job);
    const auto in_time_ms = ahead.in_time / flow->drain_cores + static_cast<double>(job.path_ms);
    if (in_time_ms <= static_cast<double>(job.time_left_ms)) {
        return to_duration(in_time_ms);
    }
    const auto rest = flow->drain_cores - flow->arrival_cores;
    if (rest < min_rest * flow->drain_cores) {
        return unbounded;
    }
    return to_duration(ahead.all / rest + static_cast<double>(job.path_ms));
}

duration completion_forecast::get_time_until_room(const job_work& job, double promised_core_ms) const {
    const auto* flow = find_flow(job.room);
    if (flow == nullptr) {
        return duration{0};
    }
    const auto slack_ms = static_cast<double>(job.time_left_ms - job.path_ms);
    const auto work = get_work_ahead(job).in_time + promised_core_ms + job.core_ms;
    return to_duration(work / flow->drain_cores - slack_ms);
}

double completion_forecast::get_drain(const room_key& room) const {
    const auto* flow = find_flow(room);
    return flow == nullptr ? 0 : flow->drain_cores;
}

duration completion_forecast::measure_backlog_time() const {
    std::map<room_key, double> backlogs; // core-milliseconds
    for (const auto& job : m_open) {
        backlogs[job.room] += job.core_ms;
    }
    duration longest{};
    for (const auto& [room, core_ms] : backlogs) {
        const auto* flow = find_flow(room);
        if (flow != nullptr && flow->has_waiting) {
            longest = std::max(longest, to_duration(core_ms / flow->drain_cores));
        }
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
