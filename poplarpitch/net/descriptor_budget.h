#pragma once

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// The smallest number of file descriptors that a daemon can work with. It needs them for files, timers and
/// connections to the other control instances.
inline constexpr std::size_t min_descriptors = 256;

/// How a process divides its limit of file descriptors, so that no part of it can use up what the others
/// need. Load pattern: 1,800 workers, each with two connections for orders and one for its heartbeats, at a
/// limit of 6,424 descriptors.
struct descriptor_budget {
    std::size_t inbound = 0;  ///< heartbeats, operators
    std::size_t outbound = 0; ///< connections to workers
    std::size_t reserved = 0; ///< for files, timers and frame connections of other processes
    std::size_t link = 0;     ///< of those reserved: frame connections that unknown processes open

    friend auto operator<=>(const descriptor_budget&, const descriptor_budget&) = default;
};

/// Divides `descriptors`. Reserves an eighth and 64 more. A third of the rest is for inbound connections,
/// since a worker uses one inbound and two outbound connections. Precondition: `descriptors` is at least
/// `min_descriptors`. Thread safety: any thread.
[[nodiscard]] constexpr descriptor_budget divide_descriptors(std::size_t descriptors) {
    constexpr std::size_t reserved_files = 64;
    constexpr std::size_t own_link_connections = 16; // from and to other control instances
    constexpr std::size_t reserved_divisor = 8;
    constexpr std::size_t inbound_divisor = 3;
    descriptor_budget budget;
    budget.reserved = descriptors / reserved_divisor + reserved_files;
    budget.link = budget.reserved - reserved_files - own_link_connections;
    const auto rest = descriptors - budget.reserved;
    budget.inbound = rest / inbound_divisor;
    budget.outbound = rest - budget.inbound;
    return budget;
}

} // namespace poplarpitch
