#pragma once

#include <chrono>
#include <cstdint>

/// Time types for all layers. All decisions use the boot-time clock, which also counts time in suspension.
namespace poplarpitch {

/// A duration in nanoseconds.
using duration = std::chrono::nanoseconds;

/// Clock tag of the boot-time clock: nanoseconds since the instance booted, including suspension.
struct boot_time {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on the boot-time clock of one instance. Must not be compared between instances.
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
