#include "poplarpitch/relay/frame_age.h"

#include <algorithm>

namespace poplarpitch {
namespace {

// Clocks that drift by 2% are a tenth of a second apart after this time. A relay that stands still gets no
// orders after half a second.
constexpr std::int64_t span_ms = 5'000;

} // namespace

duration frame_age::note(std::int64_t sent_ms, time_point now) {
    if (sent_ms == 0) {
        return duration{0};
    }
    const auto difference = to_milliseconds(now.time_since_epoch()) - sent_ms;
    if (!m_has_any) {
        m_has_any = true;
        m_span_begin_ms = sent_ms;
        m_least_ms = difference;
        m_least_before_ms = difference;
    }
    if (sent_ms - m_span_begin_ms >= span_ms) {
        m_span_begin_ms = sent_ms;
        m_least_before_ms = m_least_ms;
        m_least_ms = difference;
    }
    m_least_ms = std::min(m_least_ms, difference);
    return milliseconds{difference - std::min(m_least_ms, m_least_before_ms)};
}

} // namespace poplarpitch
