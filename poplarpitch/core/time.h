#pragma once

#include <chrono>
#include <cstdint>

/// Time types shared by every layer. All decisions use the boot-time clock, which also counts suspension.
namespace poplarpitch {

/// Length of time in nanoseconds.
using duration = std::chrono::nanoseconds;

/// Tag of the boot-time scale: nanoseconds since the instance booted, suspension included.
struct boot_time {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time, duration>;
    static constexpr bool is_steady = true;
};

/// Point on the boot-time scale of one instance; never compared between instances.
using time_point = boot_time::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `value` in whole milliseconds, rounded down. Thread safety: any thread.
constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

/// Returns `value` in seconds as a floating point number. Thread safety: any thread.
constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Returns `value` in microseconds as a floating point number. Thread safety: any thread.
constexpr double to_microseconds(duration value) {
    return std::chrono::duration<double, std::micro>(value).count();
}

} // namespace poplarpitch
