#include "poplarpitch/gateway/admission_digest.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <tuple>

namespace poplarpitch {
namespace {

duration read_duration(std::int64_t count_ms, duration longest) {
    return milliseconds{std::clamp<std::int64_t>(count_ms, 0, to_milliseconds(longest))};
}

} // namespace

load_statement read_load_digest(const job_wire::load_digest& message) {
    load_statement statement;
    statement.term = message.term();
    statement.version = message.version();
    statement.validity = read_duration(message.validity_ms(), admission_digest::max_validity);
    statement.return_spread = read_duration(message.return_spread_ms(), admission_digest::max_return_spread);
    statement.open_jobs = message.open_jobs();
    return statement;
}

admission_digest::update_result admission_digest::update(const load_statement& statement, time_point now) {
    if (statement.validity <= duration{0}) {
        return update_result::ignored;
    }
    const auto kept = find(now);
    if (kept.has_value() &&
        std::tie(statement.term, statement.version) <= std::tie(kept->term, kept->version)) {
        return update_result::ignored;
    }
    const bool is_new_term = !m_kept.has_value() || m_kept->term != statement.term;
    m_kept = statement;
    m_arrived_at = now;
    return is_new_term ? update_result::new_term : update_result::updated;
}

std::optional<load_statement> admission_digest::find(time_point now) const {
    return m_kept.has_value() && now - m_arrived_at < m_kept->validity ? m_kept : std::nullopt;
}

std::optional<duration> admission_digest::get_age(time_point now) const {
    return find(now).has_value() ? std::optional<duration>(now - m_arrived_at) : std::nullopt;
}

duration admission_digest::get_return_delay(std::string_view target, time_point now) const {
    const auto kept = find(now);
    const auto spread =
        kept.has_value() ? std::clamp(kept->return_spread, duration{0}, max_return_spread) : duration{0};
    const auto steps = static_cast<std::uint64_t>(to_milliseconds(spread)) + 1;
    return milliseconds{static_cast<std::int64_t>(hash_bytes(target) % steps)};
}

} // namespace poplarpitch
