#include "poplarpitch/telemetry/logging.h"

#include "poplarpitch/telemetry/ring_appender.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <absl/strings/ascii.h>

namespace poplarpitch {
namespace {

constexpr const char* pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";
constexpr std::size_t ring_bytes = 1U << 20; // 8,000 lines, which a busy leader writes in ten seconds
constexpr std::size_t history_reserve_bytes = ring_bytes / 2; // for the history of tasks

log4cplus::SharedAppenderPtr& get_ring() {
    static log4cplus::SharedAppenderPtr ring; // one for the process, as the state of log4cplus
    return ring;
}

ring_appender* find_ring() {
    return dynamic_cast<ring_appender*>(get_ring().get());
}

} // namespace

void start_logging(const std::string& level) {
    static const log4cplus::Initializer initializer;
    log4cplus::helpers::Properties properties;
    properties.setProperty("log4cplus.rootLogger", absl::AsciiStrToUpper(level) + ", console");
    properties.setProperty("log4cplus.appender.console", "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.console.logToStdErr", "true");
    properties.setProperty("log4cplus.appender.console.ImmediateFlush", "true");
    properties.setProperty("log4cplus.appender.console.layout", "log4cplus::PatternLayout");
    properties.setProperty("log4cplus.appender.console.layout.ConversionPattern", pattern);
    log4cplus::PropertyConfigurator(properties).configure();
}

void start_ring_logging(const std::string& level) {
    static const log4cplus::Initializer initializer;
    get_ring() = log4cplus::SharedAppenderPtr(
        new ring_appender(ring_bytes, history_reserve_bytes)); // NOLINT: log4cplus counts the references
    get_ring()->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(get_ring());
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(absl::AsciiStrToUpper(level)));
}

void flush_logs() {
    if (auto* ring = find_ring(); ring != nullptr && !ring->get_ring().is_empty()) {
        ring->flush();
    }
}

std::uint64_t get_left_out_log_lines() {
    const auto* ring = find_ring();
    return ring == nullptr ? 0 : ring->get_ring().get_left_out();
}

} // namespace poplarpitch
