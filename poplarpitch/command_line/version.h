#pragma once

namespace poplarpitch {

inline constexpr const char* version_text = "0.1.0"; ///< version of all programs

} // namespace poplarpitch
