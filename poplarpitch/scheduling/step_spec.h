#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// What a job asks for in one step: `count` equal tasks.
struct step_spec {
    std::uint32_t count = 1;
    std::int64_t millicores = 0;           ///< thousandths of a core, each task
    std::int64_t memory_mb = 0;            ///< each task
    std::int64_t accelerators = 0;         ///< each task
    std::int64_t estimate_ms = 0;          ///< the caller's guess of a task's run time; often far off
    std::vector<std::uint32_t> depends_on; ///< earlier steps all of whose tasks must be done first
    bool checkpointing = false;            ///< a stopped task can go on from its last checkpoint
    bool gang = false;                     ///< the tasks work only when all are present
    bool same_rack = false;                ///< slower by the site's remote factor on more than one rack
    std::string required_label;            ///< the worker must have it; empty for any worker
    std::string affinity_rack;             ///< slower by the remote factor elsewhere; empty for none
    std::uint32_t max_per_worker =
        0;                      ///< at most this many tasks of an occurrence's step on one worker; 0: any
    bool speculative = false;   ///< copies of a task may run at the same time
    bool long_running = false;  ///< runs until the job is cancelled and is started again when it ends
    std::string image;          ///< tasks of the same image behave alike
    std::int64_t target_ms = 0; ///< long-running: bound on the tail of its own answers; 0 for none
    bool fills = false;         ///< takes the processor time that other tasks leave
    std::optional<std::uint32_t> miss_allowed; ///< tasks that our own orders may keep away at the same time

    friend auto operator<=>(const step_spec&, const step_spec&) = default;

    /// Returns true when the tail of its answers is watched. Thread safety: any thread.
    [[nodiscard]] bool is_serving() const { return long_running && target_ms > 0; }
};

} // namespace poplarpitch
