#pragma once

#include "poplarpitch/scheduling/pool_settings.h"
#include "poplarpitch/scheduling/queue_settings.h"
#include "poplarpitch/scheduling/request_limits.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// The highest version that a configuration may have. An earlier release took negative versions for numbers
/// beyond it, and no later version can then take effect by the rule that the highest one does.
constexpr std::int64_t max_configuration_version = std::numeric_limits<std::int64_t>::max();

/// The operators' configuration of queues and pools. The highest version is in effect.
struct job_configuration {
    std::uint64_t version = 0; ///< 0 when there is none
    std::string document;      ///< as the operator sent it; returned on a read
    std::vector<queue_settings> queues;
    std::vector<pool_settings> pools;
    request_limits limits;

    friend bool operator==(const job_configuration&, const job_configuration&) = default;

    /// Returns true when the version is beyond the highest one. Thread safety: any thread.
    [[nodiscard]] bool has_invalid_version() const {
        return version > static_cast<std::uint64_t>(max_configuration_version);
    }

    /// Returns the queue of `host` with the longest prefix that `path` begins with, or null when there is
    /// none. Thread safety: any thread.
    [[nodiscard]] const queue_settings* find_queue(std::string_view host, std::string_view path) const;
    /// Returns the pool of that name, or null when there is none. Thread safety: any thread.
    [[nodiscard]] const pool_settings* find_pool(std::string_view name) const;
};

} // namespace poplarpitch
