#pragma once

#include "poplarpitch/scheduling/job_id.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace poplarpitch {

/// Identifies a step of one occurrence of a job.
struct step_key {
    job_id job = 0;
    std::uint32_t occurrence = 0; ///< 0 for a job that runs once
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key&, const step_key&) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name by which Abseil finds it
    friend H AbslHashValue(H state, const step_key& key) {
        return H::combine(std::move(state), key.job, key.occurrence, key.step);
    }
};

/// Identifies a task: one of the equal parts of a step.
struct task_key {
    step_key step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name by which Abseil finds it
    friend H AbslHashValue(H state, const task_key& key) {
        return H::combine(std::move(state), key.step, key.index);
    }
};

/// Identifies one run (one start) of a task. Run numbers start at 1 and increase; a number is never reused.
struct run_key {
    task_key task;
    std::uint32_t run = 0;

    friend auto operator<=>(const run_key&, const run_key&) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name by which Abseil finds it
    friend H AbslHashValue(H state, const run_key& key) {
        return H::combine(std::move(state), key.task, key.run);
    }
};

} // namespace poplarpitch
