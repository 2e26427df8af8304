#pragma once

#include <string>
#include <vector>

namespace poplarpitch {

/// Takes what is logged while it lives. Precondition: one at a time. Thread safety: none.
class log_capture {
public:
    log_capture();
    ~log_capture();
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    /// Returns the lines of one kind of event so far, in order.
    [[nodiscard]] std::vector<std::string> find(const std::string& event) const;
};

} // namespace poplarpitch
