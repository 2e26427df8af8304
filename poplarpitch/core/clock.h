#pragma once

#include "poplarpitch/core/time.h"

#include <concepts>

namespace poplarpitch {

/// A source of the current time: the system clock in daemons, a manual clock in tests.
template <class T>
concept clock_source = requires(const T& clock) {
    { clock.now() } -> std::same_as<time_point>;
};

} // namespace poplarpitch
