#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace poplarpitch {

/// The decision whether a job is accepted, and the figures it is based on.
struct admission {
    enum class admission_outcome : std::uint8_t {
        admitted,
        long_running_quota,   ///< long-running jobs have reserved their whole quota of the pool
        data_centres_drained, ///< no data centre with workers of the pool takes tasks
        overloaded,           ///< the leader lags too far behind to take more jobs
        completion_too_late,  ///< the job is forecast to be completed past its late limit
    };

    admission_outcome outcome = admission_outcome::admitted;
    duration retry_after{};           ///< time after which the caller should submit a refused job again
    duration lag{};                   ///< by which the leader's timers are late
    std::int64_t wanted = 0;          ///< millicores that the job would reserve
    std::int64_t reserved = 0;        ///< millicores that are reserved already
    std::int64_t allowed = 0;         ///< limit on reserved millicores
    std::optional<duration> expected; ///< forecast time until completion; nothing while it is not known
    duration objective{};             ///< of a job that ends, while there is a forecast
    bool was_promised = false;        ///< the caller returned at the time that it was told

    friend auto operator<=>(const admission&, const admission&) = default;

    [[nodiscard]] bool is_admitted() const { return outcome == admission_outcome::admitted; }
};

} // namespace poplarpitch
