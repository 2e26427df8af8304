#include "poplarpitch/dispatch/learned_state.h"

#include "poplarpitch/telemetry/log_event.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t record_overhead_bytes = 64; // name, version, time and the log entry's own fields
// Bounds the logged age. The time of a damaged record can be any number, and the difference would overflow.
constexpr std::int64_t max_logged_age_ms = 1'000'000'000'000;

const learned_record* find(std::string_view part, const std::vector<learned_record>& records) {
    const auto found = std::find_if(records.begin(), records.end(),
                                    [part](const learned_record& record) { return record.part == part; });
    return found == records.end() ? nullptr : &*found;
}

} // namespace

void learned_state::clear(time_point now) {
    m_round.clear();
    m_tokens = 0; // where leaders change often, a full bucket for each would exceed the rate
    m_refilled_at = now;
    m_next_round = now + m_settings.interval;
}

bool learned_state::begin_round(time_point now) {
    if (now < m_next_round) {
        return false;
    }
    m_next_round = now + m_settings.interval;
    m_tokens = std::min(m_tokens + to_seconds(now - m_refilled_at) * m_settings.bytes_per_second,
                        m_settings.max_burst_bytes);
    m_refilled_at = now;
    m_round.clear();
    return true;
}

void learned_state::add(learned_record record, const std::vector<learned_record>& committed) {
    const auto* known = find(record.part, committed);
    if (record.body.size() > m_settings.max_part_bytes) {
        log_event(log_level::warn, "learned_too_large")
            .add("part", record.part)
            .add("bytes", static_cast<std::uint64_t>(record.body.size()));
        return;
    }
    if (known == nullptr && record.body.empty()) {
        return; // without a record a part starts from nothing as well
    }
    if (known == nullptr || known->version != record.version || known->body != record.body) {
        m_round.push_back(std::move(record));
    }
}

std::vector<learned_record> learned_state::take_records() {
    std::vector<learned_record> allowed;
    for (auto& record : m_round) {
        const auto bytes = static_cast<double>(record.body.size() + record_overhead_bytes);
        if (bytes <= m_tokens) {
            m_tokens -= bytes;
            allowed.push_back(std::move(record));
        }
    }
    m_round.clear();
    return allowed;
}

const learned_record* learned_state::find_usable(std::string_view part, std::uint32_t version,
                                                 const std::vector<learned_record>& committed,
                                                 std::int64_t wall_ms) const {
    const auto* record = find(part, committed);
    if (record == nullptr) {
        return nullptr;
    }
    const auto max_age_ms = to_milliseconds(m_settings.max_age);
    const bool is_recent = record->written_ms >= wall_ms - max_age_ms &&
                           record->written_ms <= wall_ms + max_age_ms; // clocks of two instances differ
    if (record->version != version || !is_recent) {
        log_restored(*record, is_recent ? "other_version" : "too_old", wall_ms);
        return nullptr;
    }
    return record;
}

void learned_state::log_unknown(const std::vector<std::string_view>& known,
                                const std::vector<learned_record>& committed, std::int64_t wall_ms) {
    for (const auto& record : committed) {
        if (std::find(known.begin(), known.end(), record.part) == known.end()) {
            log_restored(record, "unknown_part", wall_ms);
        }
    }
}

void learned_state::log_restored(const learned_record& record, const char* result, std::int64_t wall_ms) {
    const auto written_ms =
        std::clamp(record.written_ms, wall_ms - max_logged_age_ms, wall_ms + max_logged_age_ms);
    log_event(log_level::info, "learned_restored")
        .add("part", record.part)
        .add("version", static_cast<std::uint64_t>(record.version))
        .add("bytes", static_cast<std::uint64_t>(record.body.size()))
        .add("age_ms", wall_ms - written_ms)
        .add("result", result);
}

} // namespace poplarpitch
