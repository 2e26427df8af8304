#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace poplarpitch {

/// Identifies one incarnation of a worker: one start of its process.
///
/// A worker may restart under the same id and then knows nothing of its earlier runs, so the state of one
/// incarnation says nothing about the next. The start time is taken from the worker's own clock, which may be
/// set back: only equal times mean the same incarnation, and their order does not tell which of two is the
/// later one.
struct worker_incarnation {
    std::string id;
    std::int64_t process_start_ms =
        0; ///< Unix time at which the process started; 0 where workers do not report it

    friend auto operator<=>(const worker_incarnation&, const worker_incarnation&) = default;

    /// Returns a key that sorts before all incarnations of the worker. Thread safety: any thread.
    [[nodiscard]] static worker_incarnation first_key_of(const std::string& id) {
        return {id, std::numeric_limits<std::int64_t>::min()};
    }

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name by which Abseil finds it
    friend H AbslHashValue(H state, const worker_incarnation& incarnation) {
        return H::combine(std::move(state), incarnation.id, incarnation.process_start_ms);
    }
};

} // namespace poplarpitch
