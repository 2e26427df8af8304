#include "poplarpitch/scheduler/copy_filter.h"

#include "poplarpitch/core/hash.h"
#include "poplarpitch/wire/scheduling.pb.h"

namespace poplarpitch {
namespace {

constexpr int first_error_status = 400; // the lowest HTTP status that rejects a request
// By how much the age of a request may seem too large: entry instances know the leader's clock from frames
// that took some time.
constexpr std::int64_t age_slack_ms = 500;

} // namespace

std::int64_t copy_filter::get_age_ms(const job_wire::relay_request& request, time_point now) {
    return to_milliseconds(now.time_since_epoch()) - request.received_ms();
}

bool copy_filter::is_expired(const job_wire::relay_request& request, time_point now) {
    return request.received_ms() > 0 && get_age_ms(request, now) > request.remaining_ms() + age_slack_ms;
}

std::uint64_t copy_filter::get_key(const job_wire::relay_request& request) {
    return hash_bytes(request.host() + '\n' + request.target());
}

void copy_filter::record_answer(std::uint64_t key, int status, time_point now) {
    if (status >= first_error_status) {
        m_refusals.record(key, now);
    }
}

bool copy_filter::was_copy_refused(const job_wire::relay_request& request, time_point now) {
    const time_point received{milliseconds{request.received_ms()}};
    return request.received_ms() > 0 && m_refusals.was_refused_since(get_key(request), received, now);
}

} // namespace poplarpitch
