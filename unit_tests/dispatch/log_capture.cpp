#include "unit_tests/dispatch/log_capture.h"

#include <gtest/gtest.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

namespace poplarpitch {
namespace {

/// Keeps all log lines in memory.
class memory_appender : public log4cplus::Appender {
public:
    ~memory_appender() override { destructorImpl(); }
    memory_appender() = default;
    memory_appender(const memory_appender&) = delete;
    memory_appender& operator=(const memory_appender&) = delete;

    void close() override { closed = true; }
    [[nodiscard]] const std::vector<std::string>& get_lines() const { return m_lines; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        m_lines.push_back(event.getMessage());
    }

private:
    std::vector<std::string> m_lines;
};

constexpr const char* name = "capture";

/// Turns logging off outside of captures. Otherwise lines that no test captures would use up the log budgets
/// of lines that a later test captures.
class disable_logging_environment : public testing::Environment {
public:
    void SetUp() override {
        static const log4cplus::Initializer initializer;
        log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    }
};

// NOLINTNEXTLINE: the test library owns it
const auto* const environment = testing::AddGlobalTestEnvironment(new disable_logging_environment);

} // namespace

log_capture::log_capture() {
    static const log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new memory_appender); // NOLINT: the library counts it
    appender->setName(name);
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

log_capture::~log_capture() {
    auto root = log4cplus::Logger::getRoot();
    root.removeAppender(name);
    root.setLogLevel(log4cplus::OFF_LOG_LEVEL);
}

std::vector<std::string> log_capture::find(const std::string& event) const {
    const auto appender = log4cplus::Logger::getRoot().getAppender(name);
    std::vector<std::string> found;
    for (const auto& line : dynamic_cast<const memory_appender&>(*appender).get_lines()) {
        if (line.rfind("event=" + event + " ", 0) == 0) {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace poplarpitch
