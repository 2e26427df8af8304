#include "poplarpitch/dispatch/first_hold_pacer.h"

#include <algorithm>

namespace poplarpitch {

time_point first_hold_pacer::reserve(time_point now) {
    m_next = std::max(m_next, now) + interval;
    return std::max(now, m_next - burst * interval);
}

} // namespace poplarpitch
