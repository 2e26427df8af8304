#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace poplarpitch {

/// The severity of an event.
enum class log_level : std::uint8_t { debug, info, warn, error };

/// Which lines are kept longest when lines must be left out.
enum class log_class : std::uint8_t {
    ordinary,
    history, ///< the history of tasks: part of the buffer is reserved for these lines
};

/// One log event, which is written as one line when the object goes out of scope:
///
///     log_event(log_level::info, "session_opened").add("entry", id).add("lease_ms", 1500);
///
/// Values with blanks or quotes are quoted, so that a line can be parsed. Each kind of event has a limit on
/// its lines (`log_budget`). A line `log_lines_left_out kind= count=` reports the lines above the limit.
/// Thread safety: none for one object. Different threads may write different events at the same time.
class log_event {
public:
    /// Starts a line for the event `name`.
    log_event(log_level level, std::string_view name, log_class line_class = log_class::ordinary);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends ` key=value` to the line.
    log_event& add(std::string_view key, std::string_view value);
    log_event& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    log_event& add(std::string_view key, std::int64_t value);
    log_event& add(std::string_view key, std::uint64_t value);
    log_event& add(std::string_view key, int value) { return add(key, static_cast<std::int64_t>(value)); }
    log_event& add(std::string_view key, double value);
    log_event& add(std::string_view key, const std::error_code& value);

    /// Returns the line with all values added so far. Thread safety: none.
    [[nodiscard]] const std::string& get_line() const { return m_line; }

private:
    log_level m_level;
    log_class m_class;
    std::string m_name;
    std::string m_line;
};

} // namespace poplarpitch
