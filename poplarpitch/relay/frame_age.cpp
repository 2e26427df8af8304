#include "poplarpitch/relay/frame_age.h"

#include <algorithm>

namespace poplarpitch {
namespace {

// Not longer, because clocks that drift by 2% diverge by a tenth of a second within one window. Not much
// shorter, because a suspended relay still gets orders for half a second, and the frames that arrived
// before the suspension have to remain in the window.
constexpr std::int64_t window_ms = 5'000;

} // namespace

duration frame_age::estimate(std::int64_t sent_ms, time_point now) {
    if (sent_ms == 0) {
        return duration{0};
    }
    const auto offset_ms = to_milliseconds(now.time_since_epoch()) - sent_ms;
    if (!m_has_any) {
        m_has_any = true;
        m_window_begin_ms = sent_ms;
        m_min_offset_ms = offset_ms;
        m_previous_min_offset_ms = offset_ms;
    }
    if (sent_ms - m_window_begin_ms >= window_ms) {
        m_window_begin_ms = sent_ms;
        m_previous_min_offset_ms = m_min_offset_ms;
        m_min_offset_ms = offset_ms;
    }
    m_min_offset_ms = std::min(m_min_offset_ms, offset_ms);
    return milliseconds{offset_ms - std::min(m_min_offset_ms, m_previous_min_offset_ms)};
}

} // namespace poplarpitch
