#pragma once

#include <compare>
#include <string>

namespace poplarpitch {

/// How much filling tasks of one image slow serving tasks of another, as learned by a leader.
struct pressure_factor {
    std::string serving; ///< image
    std::string filling; ///< image
    double mean = 0;     ///< slowdown per share of the worker's processor time
    double variance = 0; ///< of `mean`

    friend auto operator<=>(const pressure_factor&, const pressure_factor&) = default;
};

} // namespace poplarpitch
