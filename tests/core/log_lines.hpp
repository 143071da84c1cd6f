/*! @file
 * @brief Log lines that are written while a test looks.
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

/*! @brief Notes the event of each line, and one of its fields. */
class noting_appender : public log4cxx::AppenderSkeleton
{
public:
    struct line
    {
        std::string event;
        std::string why;
    };

    explicit noting_appender(std::string noted) : field(std::move(noted)) {}

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
        event->getMDC(field, one.why);
        const std::lock_guard guard(mutex);
        seen.push_back(std::move(one));
    }

private:
    std::string field;
    std::mutex mutex;
    std::vector<line> seen;
};

/*! @brief Takes the lines that are written while it lives. */
class log_lines
{
public:
    explicit log_lines(const std::string& field = "why")
        : appender(std::make_shared<noting_appender>(field))
    {
        logger()->addAppender(appender);
    }

    ~log_lines() { logger()->removeAppender(appender); }

    log_lines(const log_lines&) = delete;
    log_lines& operator=(const log_lines&) = delete;

    /*! @brief Returns the noted field of each line of an event. */
    [[nodiscard]] std::vector<std::string> of(const std::string& event) const
    {
        std::vector<std::string> made;
        for (const auto& one : appender->lines())
            if (one.event == event)
                made.push_back(one.why);
        return made;
    }

private:
    static log4cxx::LoggerPtr logger()
    {
        return log4cxx::Logger::getLogger("coursejunction");
    }

    std::shared_ptr<noting_appender> appender;
};

} // namespace log_test

#endif
