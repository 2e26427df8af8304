#pragma once

#include <compare>
#include <string>

namespace poplarpitch {

/// One error in an INI text, with its line.
struct config_error {
    int line = 0;        ///< from 1; 0 when the error concerns the whole text
    std::string message; ///< what is wrong, in one sentence

    friend auto operator<=>(const config_error&, const config_error&) = default;

    /// Returns `file:line: message`. Thread safety: any thread.
    [[nodiscard]] std::string format(const std::string& file) const {
        return file + ":" + std::to_string(line) + ": " + message;
    }
};

} // namespace poplarpitch
