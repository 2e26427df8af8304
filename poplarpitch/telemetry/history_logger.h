#pragma once

namespace poplarpitch {

/// Name of the logger for events of `log_class::history`. It is a child of the root logger, so that it uses
/// the same appenders.
inline constexpr const char* history_logger = "history";

} // namespace poplarpitch
