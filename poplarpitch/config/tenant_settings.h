#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// `[tenant NAME]`: shares and quotas of one tenant.
struct tenant_settings {
    std::string name;
    double weight = 1.0;                ///< fair share relative to other tenants
    std::int64_t max_in_flight = 10000; ///< concurrent requests per entry
    std::int64_t max_jobs = 100000;     ///< jobs that have not ended
    std::int64_t millicores = 0;        ///< batch quota in thousandths of a core; 0 means no quota
    std::int64_t accelerators = 0;      ///< batch quota in devices; 0 means no quota

    friend auto operator<=>(const tenant_settings&, const tenant_settings&) = default;
};

} // namespace poplarpitch
