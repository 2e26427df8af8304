#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// The failed attempts of a task or a gang, before and after one of its runs ended as failed. Thread safety:
/// any thread while no thread modifies the object.
struct attempt_count {
    std::uint32_t before = 0;
    std::uint32_t after = 0; ///< equal to `before` when the end does not count
    std::uint32_t max = 0;   ///< the queue's `max_attempts`

    friend auto operator<=>(const attempt_count&, const attempt_count&) = default;

    /// Returns true when this end counts as an attempt.
    [[nodiscard]] bool is_counted() const { return after > before; }
    /// Returns true when this end fails the job.
    [[nodiscard]] bool is_exhausted() const { return is_counted() && after >= max; }
};

} // namespace poplarpitch
