#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace poplarpitch {

/// How important an event is.
enum class log_level : std::uint8_t { debug, info, warn, error };

/// What is left out last where lines must be left out.
enum class log_weight : std::uint8_t {
    ordinary,
    history, ///< what became of a task: part of the lines' room is kept for these
};

/// One event; written as one line when it goes out of scope:
///
///     log_event(log_level::info, "session_opened").add("entry", id).add("lease_ms", 1500);
///
/// Values with blanks or quotes are quoted, so that a line can be split again. Each kind of event has a
/// budget of lines (`log_budget`); a line `log_lines_left_out kind= count=` tells what was over it. Thread
/// safety: none; different threads write different events at the same time.
class log_event {
public:
    log_event(log_level level, std::string_view name, log_weight weight = log_weight::ordinary);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    log_event& add(std::string_view key, std::string_view value);
    log_event& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    log_event& add(std::string_view key, std::int64_t value);
    log_event& add(std::string_view key, std::uint64_t value);
    log_event& add(std::string_view key, int value) { return add(key, static_cast<std::int64_t>(value)); }
    log_event& add(std::string_view key, double value);
    log_event& add(std::string_view key, const std::error_code& value);

    /// Returns the line as far as it was added. Thread safety: none.
    [[nodiscard]] const std::string& get_line() const { return m_line; }

private:
    log_level m_level;
    log_weight m_weight;
    std::string m_name;
    std::string m_line;
};

} // namespace poplarpitch
