#pragma once

#include <compare>
#include <string>

namespace poplarpitch {

/// The labels of a metric series. Empty labels are omitted from the text.
struct metric_labels {
    std::string tenant;
    std::string service; ///< or the batch class
    std::string outcome;

    friend auto operator<=>(const metric_labels&, const metric_labels&) = default;
};

} // namespace poplarpitch
