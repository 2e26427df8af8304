#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/step_spec.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

struct worker_state;

/// What a placement is asked for.
struct placement_request {
    const step_spec* spec = nullptr;
    step_key step;
    const std::vector<std::string>* avoided = nullptr; ///< workers on which the task failed; null for none
    bool is_last_attempt = false;                      ///< a worker whose last run failed is no choice
    std::string rack;                                  ///< only this rack; empty for any

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

/// Returns what a task of a step takes of a worker: the processor time of one that fills does not count.
/// Thread safety: any thread.
[[nodiscard]] worker_amounts get_need(const step_spec& spec);

/// Returns true when the worker may be given work at all. Thread safety: any thread while nobody changes it.
[[nodiscard]] bool is_usable(const worker_state& worker, time_point now);

/// Returns the cost of placing a task on a worker, lower is better, or nothing when it must not go there.
///
/// Tasks that fill and tasks whose answers are watched are kept apart: filling tasks disturb the others'
/// tails within seconds, and their pressure differs by image and is known only afterwards. Tasks that serve
/// are packed on few workers, so that the others stay free for tasks that fill; tasks of neither kind go to
/// the workers that serve, whose spare processor time nothing else takes. Thread safety: as above.
[[nodiscard]] std::optional<double> get_placement_cost(const worker_state& worker,
                                                       const placement_request& request);

} // namespace poplarpitch
