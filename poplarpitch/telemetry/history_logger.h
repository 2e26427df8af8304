#pragma once

namespace poplarpitch {

/// The logger of events of `log_weight::history`; the root logger's child, so that it writes where that does.
inline constexpr const char* history_logger = "history";

} // namespace poplarpitch
