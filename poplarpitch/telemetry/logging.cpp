#include "poplarpitch/telemetry/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include <absl/strings/ascii.h>

namespace poplarpitch {

void start_logging(const std::string& level, log_target target) {
    static const log4cplus::Initializer initializer;
    log4cplus::helpers::Properties properties;
    properties.setProperty("log4cplus.rootLogger", absl::AsciiStrToUpper(level) + ", console");
    properties.setProperty("log4cplus.appender.console", "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.console.logToStdErr",
                           target == log_target::standard_error ? "true" : "false");
    properties.setProperty("log4cplus.appender.console.ImmediateFlush", "true");
    properties.setProperty("log4cplus.appender.console.layout", "log4cplus::PatternLayout");
    properties.setProperty("log4cplus.appender.console.layout.ConversionPattern",
                           "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n");
    log4cplus::PropertyConfigurator(properties).configure();
}

} // namespace poplarpitch
