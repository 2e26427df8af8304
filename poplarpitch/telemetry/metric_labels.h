#pragma once

#include <compare>
#include <string>

namespace poplarpitch {

/// What a metric's series is split by. Empty members are left out of the text.
struct metric_labels {
    std::string tenant;
    std::string service; ///< or the batch class
    std::string outcome;

    friend auto operator<=>(const metric_labels&, const metric_labels&) = default;
};

} // namespace poplarpitch
