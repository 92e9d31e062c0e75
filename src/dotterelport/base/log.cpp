#include "dotterelport/base/log.hpp"

#include <cstdint>
#include <memory>

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/enum_names.hpp"

namespace dotterelport {
namespace {

constexpr enum_names<severity, 4> names{{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

struct log_state {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    std::string process;
};

/// Null until configure_logging() is called, so that embedding programs log nothing by default.
std::unique_ptr<log_state>& state()
{
    static std::unique_ptr<log_state> instance;
    return instance;
}

log4cplus::LogLevel to_log_level(severity value)
{
    switch (value) {
    case severity::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case severity::info:
        return log4cplus::INFO_LOG_LEVEL;
    case severity::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case severity::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Writes to standard output without blocking. Lines are dropped and counted while the buffer of
/// unwritten output is full; the count is logged before the next accepted line.
class nonblocking_appender final : public log4cplus::Appender {
public:
    nonblocking_appender()
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    ~nonblocking_appender() override { destructorImpl(); }
    nonblocking_appender(const nonblocking_appender&) = delete;
    nonblocking_appender& operator=(const nonblocking_appender&) = delete;
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        flush();
        if (pending_.size() > max_pending_bytes) {
            ++dropped_;
            return;
        }
        if (dropped_ > 0) {
            pending_ += json{{"name", "log_lines_dropped"}, {"lines", dropped_}}.dump() + "\n";
            dropped_ = 0;
        }
        pending_ += event.getMessage() + "\n";
        flush();
    }

private:
    /// Size of the unwritten output above which new lines are dropped.
    static constexpr std::size_t max_pending_bytes = 65'536;

    void flush()
    {
        while (!pending_.empty()) {
            const ssize_t written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
            if (written <= 0) {
                return;
            }
            pending_.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::string pending_;
    std::uint64_t dropped_ = 0;
};

log4cplus::SharedAppenderPtr make_appender(const std::string& file)
{
    constexpr bool log_to_stderr = true;
    constexpr bool immediate_flush = true;
    if (file == "stdout") {
        return log4cplus::SharedAppenderPtr(new nonblocking_appender());
    }
    if (file == "-") {
        return log4cplus::SharedAppenderPtr(
            new log4cplus::ConsoleAppender(log_to_stderr, immediate_flush));
    }
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(file, std::ios_base::app, immediate_flush));
}

} // namespace

std::string_view to_string(severity value)
{
    return name_of(names, value);
}

void configure_logging(const std::string& file, severity min_severity, const std::string& process)
{
    state() = std::make_unique<log_state>();
    state()->process = process;
    auto appender = make_appender(file);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    state()->logger.removeAllAppenders();
    state()->logger.addAppender(appender);
    state()->logger.setLogLevel(to_log_level(min_severity));
}

void log(const log_event& event, const json& fields)
{
    if (state() == nullptr || !state()->logger.isEnabledFor(to_log_level(event.level))) {
        return;
    }
    json line = {
        {"time_ms", wall_clock_now().count()}, {"event", event.number},       {"name", event.name},
        {"level", to_string(event.level)},     {"process", state()->process},
    };
    line.update(fields);
    state()->logger.log(to_log_level(event.level),
                        line.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace dotterelport
