#pragma once

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// The fewest descriptors a daemon can work with: files, timers and links to the other control instances.
inline constexpr std::size_t least_descriptors = 256;

/// How a process divides the descriptors it may have, so that none of its parts can take what the others
/// need. Load pattern: 1,800 workers, each with two connections for orders and one for its heartbeats, at
/// 6,424 descriptors.
struct descriptor_budget {
    std::size_t accepted = 0; ///< connections that others open: heartbeats, operators
    std::size_t called = 0;   ///< connections to workers
    std::size_t kept = 0;     ///< files, timers, frames of other processes

    friend auto operator<=>(const descriptor_budget&, const descriptor_budget&) = default;
};

/// Divides `descriptors`: an eighth and 64 more are kept, a third of the rest is for what others open, since
/// a worker has one connection of that kind and two of the other. Precondition: at least
/// `least_descriptors`. Thread safety: any thread.
[[nodiscard]] constexpr descriptor_budget divide_descriptors(std::size_t descriptors) {
    constexpr std::size_t reserved_files = 64;
    constexpr std::size_t reserved_divisor = 8;
    constexpr std::size_t accepted_divisor = 3;
    descriptor_budget budget;
    budget.kept = descriptors / reserved_divisor + reserved_files;
    const auto rest = descriptors - budget.kept;
    budget.accepted = rest / accepted_divisor;
    budget.called = rest - budget.accepted;
    return budget;
}

} // namespace poplarpitch
