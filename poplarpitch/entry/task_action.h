#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/entry/owned_task.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// What is to be said to a worker about a task.
enum class task_verb : std::uint8_t { start, stop, evict, throttle, unthrottle };

/// One call to a worker that the task agent asks for.
struct task_action {
    task_verb verb = task_verb::start;
    std::string worker;
    std::string address;
    std::uint64_t epoch = 0;
    owned_task task;

    friend bool operator==(const task_action&, const task_action&) = default;
};

/// What the worker said to a start.
enum class start_result : std::uint8_t {
    started,       ///< it runs, or ran already
    refused,       ///< it does not run there and will not
    stale_epoch,   ///< another entry owns the worker: what came of earlier sends is for it to find out
    other_process, ///< the worker was restarted since the assignment
    unknown,       ///< no answer: the call is made again, and says so when it runs already
};

} // namespace poplarpitch
