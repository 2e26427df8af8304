#pragma once

#include <string>
#include <vector>

namespace poplarpitch {

/// Captures the log lines written during its lifetime. Precondition: only one exists at a time. Thread
/// safety: none.
class log_capture {
public:
    log_capture();
    ~log_capture();
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    /// Returns the captured lines of one event, in order.
    [[nodiscard]] std::vector<std::string> find(const std::string& event) const;
};

} // namespace poplarpitch
