#include "poplarpitch/dispatch/copy_need.h"

namespace poplarpitch {
namespace {

constexpr double overdue_multiple =
    1.8; // multiple of the estimate; on a sound worker a run takes at most 1.5 times its estimate
constexpr double new_run_multiple =
    1.3; // multiple of the estimate; expected time of a new run, including its start
constexpr std::int64_t full_percent = 100;

} // namespace

bool needs_copy(const run_progress& progress) {
    const auto age = static_cast<double>(to_milliseconds(progress.age));
    const auto estimate = static_cast<double>(progress.estimate_ms);
    if (age < overdue_multiple * estimate) {
        return false;
    }
    if (progress.percent <= 0) {
        return true;
    }
    const auto done = static_cast<double>(progress.percent);
    return age * (full_percent - done) / done > new_run_multiple * estimate;
}

} // namespace poplarpitch
