#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <string>

namespace poplarpitch {

/// Why a request was refused before anything ran.
struct refusal {
    int status = 503;
    std::string code;    ///< for programs
    std::string message; ///< for people
    duration retry_after = seconds{1};

    friend auto operator<=>(const refusal&, const refusal&) = default;
};

} // namespace poplarpitch
