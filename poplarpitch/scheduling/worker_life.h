#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace poplarpitch {

/// Names one life of a worker's process: its incarnation.
///
/// A worker may start again under the id that it had and then knows nothing of before, so what is kept of one
/// life says nothing of the next. The start time is of the worker's own clock, which may be stepped back:
/// only equal times mean the same life, and which of two is the later one is not told by their order.
struct worker_life {
    std::string id;
    std::int64_t born_ms = 0; ///< Unix time at which the process started; 0 where workers do not tell it

    friend auto operator<=>(const worker_life&, const worker_life&) = default;

    /// Returns what comes before all lives of a worker in order. Thread safety: any thread.
    [[nodiscard]] static worker_life before_all(const std::string& id) {
        return {id, std::numeric_limits<std::int64_t>::min()};
    }

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name by which Abseil finds it
    friend H AbslHashValue(H state, const worker_life& life) {
        return H::combine(std::move(state), life.id, life.born_ms);
    }
};

} // namespace poplarpitch
