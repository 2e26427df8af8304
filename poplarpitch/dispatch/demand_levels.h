#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpitch {

/// Smoothed demand of the tasks that end, by which placement keeps room for them. Thread safety: none, as for
/// all methods.
struct demand_levels {
    static constexpr std::string_view part_name = "demand";
    static constexpr std::uint32_t format_version = 1;

    double filling_backlog =
        0; ///< cores of waiting filling tasks as a share of those of running ones, 0 to 1; smoothed
    double short_task_millicores = 0; ///< demand of tasks that neither serve nor fill, smoothed

    friend auto operator<=>(const demand_levels&, const demand_levels&) = default;

    /// Returns the levels for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Replaces the levels, see `learned_part`.
    bool load(std::string_view body, std::int64_t wall_ms);
};

} // namespace poplarpitch
