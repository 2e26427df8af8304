#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// The reason for refusing a request before it ran anywhere.
struct refusal {
    int status = 503;
    std::string code;    ///< machine-readable
    std::string message; ///< human-readable
    duration retry_after = seconds{1};

    friend auto operator<=>(const refusal&, const refusal&) = default;
};

} // namespace poplarpitch
