#include "poplarpitch/telemetry/log_event.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/telemetry/history_logger.h"
#include "poplarpitch/telemetry/log_budget.h"

#include <absl/synchronization/mutex.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace poplarpitch {
namespace {

log4cplus::LogLevel to_log4cplus_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Appends `value`, in quotes if its end would be ambiguous otherwise.
void append_value(std::string& line, std::string_view value) {
    const bool is_plain = !value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
    if (is_plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '\n' || character == '\r') {
            line += ' ';
            continue;
        }
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character;
    }
    line += '"';
}

/// Applies the log budget of the process. There is one for the process, as there is one root logger.
log_budget::decision check_budget(std::string_view kind) {
    static absl::Mutex mutex;
    static log_budget budget{log_budget_settings{}};
    const absl::MutexLock lock(&mutex);
    return budget.admit(kind, system_clock().now());
}

} // namespace

log_event::log_event(log_level level, std::string_view name, log_class line_class)
    : m_level(level), m_class(line_class), m_name(name), m_line("event=") {
    append_value(m_line, name);
}

log_event::~log_event() {
    static const auto root = log4cplus::Logger::getRoot();
    static const auto history = log4cplus::Logger::getInstance(history_logger);
    const auto& logger = m_class == log_class::history ? history : root;
    const auto level = to_log4cplus_level(m_level);
    if (!logger.isEnabledFor(level)) {
        return;
    }
    const auto decided = check_budget(m_name);
    if (decided.left_out > 0) {
        logger.log(log4cplus::WARN_LOG_LEVEL,
                   "event=log_lines_left_out kind=" + m_name + " count=" + std::to_string(decided.left_out));
    }
    if (decided.is_written) {
        logger.log(level, m_line);
    }
}

log_event& log_event::add(std::string_view key, std::string_view value) {
    m_line += ' ';
    m_line += key;
    m_line += '=';
    append_value(m_line, value);
    return *this;
}

log_event& log_event::add(std::string_view key, std::int64_t value) {
    return add(key, std::to_string(value));
}

log_event& log_event::add(std::string_view key, std::uint64_t value) {
    return add(key, std::to_string(value));
}

log_event& log_event::add(std::string_view key, double value) {
    return add(key, std::to_string(value));
}

log_event& log_event::add(std::string_view key, const std::error_code& value) {
    return add(key, value.message());
}

} // namespace poplarpitch
