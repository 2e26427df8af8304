#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/config/configuration.h"

#include <string_view>
#include <vector>

namespace poplarpitch {

/// A configuration, or all errors in the text.
struct parsed_configuration {
    configuration value;
    std::vector<config_error> errors; ///< empty when `value` may be used

    friend bool operator==(const parsed_configuration&, const parsed_configuration&) = default;
};

/// Parses and validates the operators' configuration text. Thread safety: any thread.
[[nodiscard]] parsed_configuration parse_configuration(std::string_view text);

} // namespace poplarpitch
