#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/net/http_caller_settings.h"
#include "poplarpitch/relay/relay_settings.h"
#include "poplarpitch/replica/replica_settings.h"
#include "poplarpitch/scheduling/dispatch_settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Settings of a scheduler instance: `[instance]`, `[control]`, `[connections]` and `[workers]` of its
/// settings file.
struct scheduler_settings {
    std::string id; ///< name of this instance, unique among all
    std::string data_centre = "default";
    std::string log_level = "info";
    std::string control_host = "127.0.0.1"; ///< where workers and operators call
    int control_port = 0;
    std::string advice_address;      ///< of the advice service; empty where there is none
    int metrics_port = 0;            ///< 0: no metrics are served
    duration stop_wait = seconds{2}; ///< at a stop: how long answers under way may take
    std::size_t max_accepted = 1750; ///< connections of workers and operators; the share of 6,000 descriptors
    http_caller_settings caller;     ///< its bound comes from the descriptors that the process may have
    relay_settings relay;
    replica_settings replica;
    dispatch_settings dispatch;

    friend bool operator==(const scheduler_settings&, const scheduler_settings&) = default;
};

/// Settings, or every reason why the text does not give them.
struct parsed_scheduler_settings {
    scheduler_settings value;
    std::vector<config_error> errors;
};

/// Reads the settings of a scheduler instance. Thread safety: any thread.
[[nodiscard]] parsed_scheduler_settings parse_scheduler_settings(std::string_view text);

} // namespace poplarpitch
