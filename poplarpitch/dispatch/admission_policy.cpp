#include "poplarpitch/dispatch/admission_policy.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace poplarpitch {

void admission_policy::clear() {
    m_promises.clear();
    m_queues.clear();
}

bool admission_policy::is_current(std::int64_t due_ms, std::int64_t wall_ms) const {
    return due_ms >= wall_ms - to_milliseconds(m_settings.promise_lifetime) &&
           due_ms <= wall_ms + to_milliseconds(m_settings.max_retry_after);
}

void admission_policy::drop_expired(std::int64_t wall_ms) {
    // A promise due later than any that is given now dates from before the clock was set back.
    std::erase_if(m_promises, [&](const auto& item) { return !is_current(item.second.due_ms, wall_ms); });
}

double admission_policy::get_promised_core_ms(const room_key& room) const {
    double sum = 0;
    for (const auto& [id, promise] : m_promises) {
        sum += promise.room == room ? promise.core_ms : 0;
    }
    return sum;
}

bool admission_policy::is_refused(queue_state& state, double share, time_point now) const {
    if (!state.is_refusing) {
        if (share <= 1) {
            state.past_since.reset();
            return false;
        }
        if (!state.past_since.has_value()) {
            state.past_since = now;
        }
        state.is_refusing = now - *state.past_since >= m_settings.patience;
        state.sound_since.reset();
        return state.is_refusing;
    }
    if (share > m_settings.sound_share) {
        state.sound_since.reset();
        return true;
    }
    if (!state.sound_since.has_value()) {
        state.sound_since = now;
    }
    if (now - *state.sound_since >= m_settings.patience) {
        state = {};
    }
    return false;
}

admission_policy::decision admission_policy::decide(const job_work& job, const std::string& queue,
                                                    const completion_forecast& forecast, time_point now,
                                                    std::int64_t wall_ms) {
    decision made;
    drop_expired(wall_ms);
    made.expected = forecast.forecast(job);
    const auto found = m_promises.find(job.job);
    const bool has_promise = found != m_promises.end();
    made.was_promised =
        has_promise && wall_ms >= found->second.due_ms - to_milliseconds(m_settings.early_return);
    if (!made.expected.has_value()) {
        m_promises.erase(job.job);
        return made;
    }
    const auto limit_ms = m_settings.late_multiple * static_cast<double>(job.time_left_ms);
    const auto share = static_cast<double>(to_milliseconds(*made.expected)) / std::max(limit_ms, 1.0);
    const bool is_past_limit = is_refused(m_queues[queue], share, now);
    made.is_admitted = made.was_promised ? share <= 1 : !is_past_limit;
    if (made.is_admitted) {
        m_promises.erase(job.job);
        return made;
    }
    const bool is_early = has_promise && !made.was_promised;
    made.retry_after =
        is_early ? milliseconds{found->second.due_ms - wall_ms} : promise_time(job, forecast, wall_ms);
    return made;
}

duration admission_policy::promise_time(const job_work& job, const completion_forecast& forecast,
                                        std::int64_t wall_ms) {
    m_promises.erase(job.job);
    const auto wait = std::clamp<duration>(forecast.get_time_until_room(job, get_promised_core_ms(job.room)),
                                           m_settings.min_retry_after, m_settings.max_retry_after);
    if (m_promises.size() >= m_settings.max_promises) {
        m_promises.erase(
            std::min_element(m_promises.begin(), m_promises.end(), [](const auto& left, const auto& right) {
                return left.second.due_ms < right.second.due_ms;
            }));
    }
    m_promises[job.job] = {job.room, wall_ms + to_milliseconds(wait), job.core_ms};
    return wait;
}

std::string admission_policy::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    std::vector<std::pair<std::int64_t, job_id>> order;
    for (const auto& [id, promise] : m_promises) {
        order.emplace_back(promise.due_ms, id);
    }
    std::sort(order.begin(), order.end()); // the next ones to return come first
    job_wire::learned_promises message;
    std::size_t bytes = 0;
    for (const auto& [due_ms, id] : order) {
        const auto& promise = m_promises.at(id);
        job_wire::learned_promises::promise item;
        item.set_job(id);
        item.set_pool(promise.room.pool);
        item.set_is_filling(promise.room.is_filling);
        item.set_due_ms(due_ms);
        item.set_core_ms(std::round(promise.core_ms));
        constexpr std::size_t item_overhead_bytes = 4;
        bytes += item.ByteSizeLong() + item_overhead_bytes;
        if (bytes > max_bytes) {
            break;
        }
        *message.add_promises() = item;
    }
    return message.SerializeAsString();
}

bool admission_policy::load(std::string_view body, std::int64_t wall_ms) {
    job_wire::learned_promises message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return false;
    }
    m_promises.clear();
    for (const auto& item : message.promises()) {
        const bool is_valid =
            std::isfinite(item.core_ms()) && item.core_ms() >= 0 && is_current(item.due_ms(), wall_ms);
        if (is_valid && m_promises.size() < m_settings.max_promises) {
            m_promises[item.job()] = {{item.pool(), item.is_filling()}, item.due_ms(), item.core_ms()};
        }
    }
    return true;
}

} // namespace poplarpitch
