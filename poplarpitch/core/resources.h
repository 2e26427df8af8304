#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// An amount of each resource that a worker has.
struct resources {
    std::int64_t slots = 0;        ///< concurrent requests
    std::int64_t millicores = 0;   ///< thousandths of a processor core
    std::int64_t memory = 0;       ///< bytes
    std::int64_t accelerators = 0; ///< whole devices

    friend bool operator==(const resources&, const resources&) = default;

    /// Returns true when `part` fits into this amount in every dimension. Thread safety: any thread.
    [[nodiscard]] constexpr bool can_fit(const resources& part) const noexcept {
        return part.slots <= slots && part.millicores <= millicores && part.memory <= memory &&
               part.accelerators <= accelerators;
    }

    /// Returns true when no dimension is negative. Thread safety: any thread.
    [[nodiscard]] constexpr bool is_valid() const noexcept {
        return slots >= 0 && millicores >= 0 && memory >= 0 && accelerators >= 0;
    }

    /// Adds `other` in every dimension. Thread safety: none.
    constexpr resources& operator+=(const resources& other) noexcept {
        slots += other.slots;
        millicores += other.millicores;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }

    /// Subtracts `other` in every dimension. Thread safety: none.
    constexpr resources& operator-=(const resources& other) noexcept {
        slots -= other.slots;
        millicores -= other.millicores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    friend constexpr resources operator+(resources left, const resources& right) noexcept {
        return left += right;
    }
    friend constexpr resources operator-(resources left, const resources& right) noexcept {
        return left -= right;
    }
};

} // namespace poplarpitch
