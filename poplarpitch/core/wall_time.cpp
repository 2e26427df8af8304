#include "poplarpitch/core/wall_time.h"

#include <chrono>

namespace poplarpitch {

std::int64_t get_wall_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace poplarpitch
