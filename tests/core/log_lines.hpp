/*! @file
 * @brief Captures the log lines that a test causes.
 */
#ifndef COURSEJUNCTION_TESTS_CORE_LOG_LINES_HPP
#define COURSEJUNCTION_TESTS_CORE_LOG_LINES_HPP

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

namespace log_test
{

/*! @brief Records the event and the value of one field of each log line. */
class recording_appender : public log4cxx::AppenderSkeleton
{
public:
    struct line
    {
        std::string event;
        std::string value;
    };

    explicit recording_appender(std::string recorded_field)
        : field(std::move(recorded_field))
    {
    }

    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return false; }

    [[nodiscard]] std::vector<line> lines()
    {
        const std::lock_guard guard(mutex);
        return seen;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool&) override
    {
        line one;
        one.event = event->getMessage();
        event->getMDC(field, one.value);
        const std::lock_guard guard(mutex);
        seen.push_back(std::move(one));
    }

private:
    std::string field;
    std::mutex mutex;
    std::vector<line> seen;
};

/*! @brief Captures the lines that are logged during its lifetime. */
class log_lines
{
public:
    explicit log_lines(const std::string& field = "why")
        : appender(std::make_shared<recording_appender>(field))
    {
        logger()->addAppender(appender);
    }

    ~log_lines() { logger()->removeAppender(appender); }

    log_lines(const log_lines&) = delete;
    log_lines& operator=(const log_lines&) = delete;

    /*! @brief Returns the recorded field of each captured line of an event. */
    [[nodiscard]] std::vector<std::string> of(const std::string& event) const
    {
        std::vector<std::string> made;
        for (const auto& one : appender->lines())
            if (one.event == event)
                made.push_back(one.value);
        return made;
    }

private:
    static log4cxx::LoggerPtr logger()
    {
        return log4cxx::Logger::getLogger("coursejunction");
    }

    std::shared_ptr<recording_appender> appender;
};

} // namespace log_test

#endif
