#pragma once

#include "poplarpitch/config/config_error.h"
#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// A service as the stand-in serves it.
struct stand_in_service {
    std::string name;
    duration time = milliseconds{5}; ///< middle service time on an ordinary worker without batch work
    double jitter = 0.3;             ///< standard deviation of the time's logarithm

    friend auto operator<=>(const stand_in_service&, const stand_in_service&) = default;
};

/// What tasks of a batch class do to a worker, whatever was declared for them.
struct stand_in_noise {
    double growth = 0;           ///< of service times, were it to take the whole worker
    std::int64_t millicores = 0; ///< what a task really takes; 0 takes what was declared for it

    friend auto operator<=>(const stand_in_noise&, const stand_in_noise&) = default;
};

/// How the stand-in's workers behave: `[stand_in]`, `[service NAME]` and `[noise BATCH]` of its settings
/// file.
struct stand_in_settings {
    std::string id = "worker"; ///< prefix of the workers' ids
    int count = 1;             ///< workers in this process
    int first_number = 1;      ///< number of the first one
    std::string host = "127.0.0.1";
    std::vector<std::string> entries;                 ///< host:port of entries to announce to
    std::vector<std::string> data_centres{"default"}; ///< workers take them in turn
    int rack_size = 8;                                ///< workers in a rack
    resources capacity{8, 64000, 250LL << 30, 0};     ///< of each worker
    double old_share = 0;                             ///< share of workers of the old generation
    double old_factor = 1.8;                          ///< how much longer work takes on an old one
    double task_speed = 1;                            ///< tasks run this much faster than their declared time
    std::string record;                               ///< file of what ran; empty for none
    std::vector<stand_in_service> services;
    std::map<std::string, stand_in_noise> noise; ///< by batch class

    friend bool operator==(const stand_in_settings&, const stand_in_settings&) = default;
};

/// Settings, or every reason why the text does not give them.
struct parsed_stand_in_settings {
    stand_in_settings value;
    std::vector<config_error> errors;
};

/// Reads the stand-in's settings. Thread safety: any thread.
[[nodiscard]] parsed_stand_in_settings parse_stand_in_settings(std::string_view text);

} // namespace poplarpitch
