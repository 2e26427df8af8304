#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// A task that a worker says it runs.
struct running_task {
    std::string job;
    std::uint64_t attempt = 0;
    duration unsaved{}; ///< work since its last checkpoint

    friend auto operator<=>(const running_task&, const running_task&) = default;
};

/// Something that happened to a task; sent again until it is acknowledged.
struct task_report {
    std::uint64_t number = 0; ///< of the worker's process, rising
    std::string job;
    std::uint64_t attempt = 0;
    std::string kind; ///< finished, failed, checkpointed, evicted or stopped
    std::string detail;
    std::string checkpoint;
    double cores_ratio = 1; ///< used over declared
    double memory_ratio = 1;
    double time_ratio = 1;

    friend auto operator<=>(const task_report&, const task_report&) = default;
};

/// What a target tells about itself. The lists of tasks and requests are whole when `is_complete`, else only
/// the requests are there.
struct announcement {
    std::string id;
    std::string address; ///< host:port
    std::string data_centre;
    std::string rack;
    std::string speed_class;
    std::vector<std::string> services;
    resources capacity;
    std::uint64_t epoch = 0;       ///< newest that it has accepted
    std::uint64_t incarnation = 0; ///< of its process
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    bool is_complete = false;
    std::vector<std::string> requests; ///< ids of the requests it runs
    resources old_work;                ///< taken by requests that were started under older epochs
    std::vector<running_task> tasks;
    std::vector<task_report> reports;

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// What the target gets back.
struct announce_answer {
    std::string owner;
    std::string owner_address; ///< where to announce from now on; empty while there is none
    std::uint64_t epoch = 0;
    bool is_renewed = false;     ///< its task leases go on
    bool wants_complete = false; ///< announce again at once, with all tasks
    std::vector<std::uint64_t> acknowledged;
    duration interval = milliseconds{500};
    duration task_lease = seconds{10};

    friend bool operator==(const announce_answer&, const announce_answer&) = default;
};

} // namespace poplarpitch
