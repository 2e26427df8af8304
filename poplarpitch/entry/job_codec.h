#pragma once

#include "poplarpitch/config/configuration.h"
#include "poplarpitch/entry/announcement_codec.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <string>
#include <variant>

namespace poplarpitch {

/// Parses a job that a user submits as JSON and fills in the defaults of its batch class. Thread safety: any
/// thread.
[[nodiscard]] std::variant<wire::job, codec_error> decode_job(const std::string& text,
                                                              const configuration& settings);
/// Encodes a job's record as JSON. Thread safety: any thread.
[[nodiscard]] std::string encode_job(const wire::job& job);
/// Returns the state's name that users see. Thread safety: any thread.
[[nodiscard]] const char* get_job_state_name(wire::job_state state);

} // namespace poplarpitch
