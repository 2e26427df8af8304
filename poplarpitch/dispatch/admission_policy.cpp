#include "poplarpitch/dispatch/admission_policy.h"

#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {

void admission_policy::clear() {
    m_promises.clear();
    m_by_due.clear();
    m_promised_core_ms.clear();
    m_queues.clear();
}

bool admission_policy::is_current(std::int64_t due_ms, std::int64_t wall_ms) const {
    return due_ms >= wall_ms - to_milliseconds(m_settings.promise_lifetime) &&
           due_ms <= wall_ms + to_milliseconds(m_settings.max_retry_after);
}

void admission_policy::drop_expired(std::int64_t wall_ms) {
    while (!m_by_due.empty() && !is_current(m_by_due.begin()->first, wall_ms)) {
        remove_promise(m_by_due.begin()->second);
    }
    // A promise due later than any that is given now dates from before the clock was set back.
    while (!m_by_due.empty() && !is_current(m_by_due.rbegin()->first, wall_ms)) {
        remove_promise(m_by_due.rbegin()->second);
    }
}

void admission_policy::add_promise(job_id job, const promise& added) {
    remove_promise(job);
    if (m_promises.size() >= m_settings.max_promises) {
        remove_promise(m_by_due.begin()->second);
    }
    m_promises.emplace(job, added);
    m_by_due.emplace(added.due_ms, job);
    m_promised_core_ms[{added.room, added.priority}] += added.core_ms;
}

void admission_policy::remove_promise(job_id job) {
    const auto found = m_promises.find(job);
    if (found == m_promises.end()) {
        return;
    }
    const auto sum = m_promised_core_ms.find({found->second.room, found->second.priority});
    sum->second = std::max(sum->second - found->second.core_ms, 0.0);
    m_by_due.erase({found->second.due_ms, job});
    m_promises.erase(found);
    if (m_promises.empty()) {
        m_promised_core_ms.clear(); // rounding errors do not add up
    }
}

double admission_policy::get_promised_core_ms(const room_key& room, int priority) const {
    double total = 0;
    for (const auto& [key, sum] : m_promised_core_ms) {
        total += key.first == room && key.second <= priority ? sum : 0;
    }
    return total;
}

bool admission_policy::is_refused(queue_state& state, double share, time_point now) const {
    if (!state.is_refusing) {
        if (share <= 1) {
            state.past_since.reset();
            return false;
        }
        // Without a submission in between, a second burst must not count as part of the first.
        if (!state.past_since.has_value() || now - state.past_at > m_settings.patience) {
            state.past_since = now;
        }
        state.past_at = now;
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
    const auto found = m_promises.find(job.job);
    const bool has_promise = found != m_promises.end();
    const auto due_ms = has_promise ? found->second.due_ms : 0;
    made.was_promised = has_promise && wall_ms >= due_ms - to_milliseconds(m_settings.early_return);
    // The part of a caller that returns is among the promised work; the rest of it comes later.
    const auto promised = made.was_promised ? 0 : get_promised_core_ms(job.room, job.priority);
    made.expected = forecast.forecast(job, promised, now);
    if (!made.expected.has_value()) {
        remove_promise(job.job);
        return made;
    }
    const auto limit_ms = m_settings.late_multiple * static_cast<double>(job.time_left_ms);
    const auto share = static_cast<double>(to_milliseconds(*made.expected)) / std::max(limit_ms, 1.0);
    made.is_admitted = !is_refused(m_queues[queue], share, now) || (made.was_promised && share <= 1);
    if (made.is_admitted) {
        remove_promise(job.job);
        return made;
    }
    const bool is_early = has_promise && !made.was_promised;
    made.retry_after = is_early ? milliseconds{due_ms - wall_ms} : promise_time(job, forecast, now, wall_ms);
    return made;
}

duration admission_policy::promise_time(const job_work& job, const completion_forecast& forecast,
                                        time_point now, std::int64_t wall_ms) {
    remove_promise(job.job);
    const auto promised = get_promised_core_ms(job.room, job.priority);
    const auto wait = std::clamp<duration>(forecast.get_time_until_room(job, promised, now),
                                           m_settings.min_retry_after, m_settings.max_retry_after);
    add_promise(job.job, {job.room, job.priority, wall_ms + to_milliseconds(wait), job.core_ms});
    return wait;
}

std::string admission_policy::save(std::int64_t /*wall_ms*/, std::size_t max_bytes) const {
    job_wire::learned_promises message;
    std::size_t bytes = 0;
    for (const auto& [due_ms, id] : m_by_due) { // the next ones to return come first
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
    m_by_due.clear();
    m_promised_core_ms.clear();
    for (const auto& item : message.promises()) {
        const bool is_valid =
            std::isfinite(item.core_ms()) && item.core_ms() >= 0 && is_current(item.due_ms(), wall_ms);
        if (is_valid && m_promises.size() < m_settings.max_promises) {
            add_promise(item.job(), {{item.pool(), item.is_filling()}, 0, item.due_ms(), item.core_ms()});
        }
    }
    return true;
}

} // namespace poplarpitch
