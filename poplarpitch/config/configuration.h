#pragma once

#include "poplarpitch/config/batch_settings.h"
#include "poplarpitch/config/objective_settings.h"
#include "poplarpitch/config/service_settings.h"
#include "poplarpitch/config/system_settings.h"
#include "poplarpitch/config/tenant_settings.h"

#include <string_view>
#include <vector>

namespace poplarpitch {

/// The validated configuration of the operators. Immutable once parsed.
struct configuration {
    system_settings system;
    objective_settings objective;
    std::vector<tenant_settings> tenants;
    std::vector<service_settings> services;
    std::vector<batch_settings> batches;

    friend bool operator==(const configuration&, const configuration&) = default;

    /// Returns the tenant called `name`, or null. Thread safety: any thread.
    [[nodiscard]] const tenant_settings* find_tenant(std::string_view name) const;
    /// Returns the service called `name`, or null. Thread safety: any thread.
    [[nodiscard]] const service_settings* find_service(std::string_view name) const;
    /// Returns the batch class called `name`, or null. Thread safety: any thread.
    [[nodiscard]] const batch_settings* find_batch(std::string_view name) const;
};

} // namespace poplarpitch
