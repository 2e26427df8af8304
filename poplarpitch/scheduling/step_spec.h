#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// One step of a job: `count` equal tasks.
struct step_spec {
    std::uint32_t count = 1;
    std::int64_t millicores = 0;           ///< thousandths of a core, for each task
    std::int64_t memory_mb = 0;            ///< each task
    std::int64_t accelerators = 0;         ///< each task
    std::int64_t estimate_ms = 0;          ///< the caller's estimate of a task's run time; often far off
    std::vector<std::uint32_t> depends_on; ///< earlier steps whose tasks must all be done first
    bool checkpointing = false;            ///< a stopped task can resume from its last checkpoint
    bool gang = false;                     ///< the tasks make progress only while all of them run
    bool same_rack =
        false; ///< the tasks run slower by the site's remote factor when they are on several racks
    std::string required_label; ///< label that the worker must have; empty for any worker
    std::string affinity_rack;  ///< the tasks run slower by the remote factor on other racks; empty for none
    std::uint32_t max_per_worker =
        0;                    ///< maximum number of tasks of one occurrence's step on one worker; 0: no limit
    bool speculative = false; ///< copies of a task may run at the same time
    bool long_running = false;  ///< runs until the job is cancelled and is restarted when it ends
    std::string image;          ///< tasks of the same image behave alike
    std::int64_t target_ms = 0; ///< long-running: upper bound of the tail latency of its answers; 0 for none
    bool is_filling = false;    ///< a filling task: uses the processor time that other tasks leave
    std::optional<std::uint32_t> max_unavailable; ///< number of tasks that the scheduler's own orders may
                                                  ///< keep from running at the same time

    friend auto operator<=>(const step_spec&, const step_spec&) = default;

    /// Returns true when the tail latency of its answers is monitored. Thread safety: any thread.
    [[nodiscard]] bool is_serving() const { return long_running && target_ms > 0; }
};

} // namespace poplarpitch
