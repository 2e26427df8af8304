#include "poplarpitch/core/system_clock.h"

#include <ctime>

namespace poplarpitch {

time_point system_clock::now() const noexcept {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{seconds{value.tv_sec} + duration{value.tv_nsec}};
}

} // namespace poplarpitch
