#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Whether a job is taken, and what it was decided on.
struct admission {
    enum class verdict : std::uint8_t {
        taken,
        lasting_quota, ///< jobs that last hold as much of the pool as they may
        overloaded,    ///< the leader is behind with the jobs it has
    };

    verdict what = verdict::taken;
    duration retry_after{};    ///< when a refused job should be sent again
    duration lag{};            ///< by which the leader is behind
    std::int64_t wanted = 0;   ///< millicores that it would reserve
    std::int64_t reserved = 0; ///< millicores reserved already
    std::int64_t allowed = 0;  ///< millicores that may be reserved

    friend auto operator<=>(const admission&, const admission&) = default;

    [[nodiscard]] bool is_taken() const { return what == verdict::taken; }
};

} // namespace poplarpitch
