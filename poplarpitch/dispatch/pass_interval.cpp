#include "poplarpitch/dispatch/pass_interval.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t many_waiting_steps = 50; // a pass over fewer steps costs under 0.2 ms at 640 workers
constexpr duration busy_interval = milliseconds{
    15}; // between passes over many steps; the passes then use a tenth of a core of a small instance
constexpr duration idle_interval =
    milliseconds{100}; // while no task waits; the pass then only measures the demand
constexpr std::size_t many_workers = 2000;
constexpr duration interval_per_worker =
    duration{milliseconds{1}} / 200; // of each worker beyond `many_workers`

} // namespace

duration get_pass_interval(std::size_t waiting_steps, std::size_t workers) {
    if (waiting_steps == 0) {
        return idle_interval;
    }
    const auto for_steps = waiting_steps > many_waiting_steps ? busy_interval : duration{0};
    const auto excess = workers > many_workers ? workers - many_workers : 0;
    return std::max(for_steps, static_cast<std::int64_t>(excess) * interval_per_worker);
}

} // namespace poplarpitch
