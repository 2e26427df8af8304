#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// A task that a worker reports as running.
struct running_task {
    std::string job;
    std::uint64_t attempt = 0;
    duration uncheckpointed_work{}; ///< work since its last checkpoint

    friend auto operator<=>(const running_task&, const running_task&) = default;
};

/// An event of a task. The worker sends the report again until it is acknowledged.
struct task_report {
    std::uint64_t number = 0; ///< counted by the worker's process, increasing
    std::string job;
    std::uint64_t attempt = 0;
    std::string kind; ///< finished, failed, checkpointed, evicted or stopped
    std::string detail;
    std::string checkpoint;
    double cores_ratio = 1; ///< ratio of used to declared
    double memory_ratio = 1;
    double time_ratio = 1;

    friend auto operator<=>(const task_report&, const task_report&) = default;
};

/// A target's report about itself. With `is_complete` the lists of tasks and requests are both complete;
/// otherwise only the requests are listed.
struct announcement {
    std::string id;
    std::string address; ///< host:port
    std::string data_centre;
    std::string rack;
    std::string speed_class;
    std::vector<std::string> services;
    resources capacity;
    std::uint64_t epoch = 0;       ///< newest epoch that the target has accepted
    std::uint64_t incarnation = 0; ///< of the target's process
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    bool is_complete = false;
    std::vector<std::string> requests; ///< ids of the requests that it runs
    resources old_epoch_usage;         ///< used by requests that were started under older epochs
    std::vector<running_task> tasks;
    std::vector<task_report> reports;

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// The answer to an announcement.
struct announce_answer {
    std::string owner;
    std::string owner_address; ///< where the target announces itself from now on; empty while it has no owner
    std::uint64_t epoch = 0;
    bool is_renewed = false;     ///< the leases of its tasks are renewed
    bool wants_complete = false; ///< the target must announce itself again at once, with all tasks
    std::vector<std::uint64_t> acknowledged;
    duration interval = milliseconds{500};
    duration task_lease = seconds{10};

    friend bool operator==(const announce_answer&, const announce_answer&) = default;
};

} // namespace poplarpitch
