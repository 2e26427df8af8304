#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/entry/owned_task.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// The operation that a worker is asked to perform on a task.
enum class task_verb : std::uint8_t { start, stop, evict, throttle, unthrottle };

/// A call to a worker that the task agent requests.
struct task_action {
    task_verb verb = task_verb::start;
    std::string worker;
    std::string address;
    std::uint64_t epoch = 0;
    owned_task task;

    friend bool operator==(const task_action&, const task_action&) = default;
};

/// The worker's answer to a start.
enum class start_result : std::uint8_t {
    started,       ///< the task runs, or has run already
    refused,       ///< the task does not run there, and this call will not start it
    stale_epoch,   ///< another entry owns the worker; it has to determine the outcome of earlier starts
    other_process, ///< the worker was restarted after the assignment
    unknown,       ///< no answer; the call is repeated, and the worker reports when the task already runs
};

} // namespace poplarpitch
