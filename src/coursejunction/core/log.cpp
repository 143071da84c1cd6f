#include "coursejunction/core/log.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include "coursejunction/core/pacing.hpp"

namespace coursejunction::log
{

namespace internal
{

/*! @brief Maximum number of lines queued for the background thread; about
 * 1 MB. */
constexpr int max_queued_lines = 2048;

log4cxx::LoggerPtr logger()
{
    static const auto named = log4cxx::Logger::getLogger("coursejunction");
    return named;
}

template <typename Write>
void with_fields(std::initializer_list<field> fields, Write write)
{
    for (const auto& [name, value] : fields)
        log4cxx::MDC::put(std::string(name), value);
    write();
    for (const auto& [name, value] : fields)
        log4cxx::MDC::remove(std::string(name));
}

/*! @brief Makes standard output non-blocking if it is a pipe or a socket, so
 * that writes fail rather than block when no process reads it. A terminal is
 * not changed, because other processes share it. */
void make_stdout_nonblocking()
{
    struct stat status
    {
    };
    if (fstat(STDOUT_FILENO, &status) != 0 ||
        (!S_ISFIFO(status.st_mode) && !S_ISSOCK(status.st_mode)))
        return;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/*! @brief Limits the rate of lines. The first line after a drop is preceded by
 * a warning with the number of dropped lines. */
class rate_limit
{
public:
    explicit rate_limit(double per_second) : bucket(per_second, per_second) {}

    bool take()
    {
        const auto now =
            std::chrono::time_point_cast<std::chrono::microseconds>(
                std::chrono::steady_clock::now());
        if (!bucket.take(1, now))
        {
            ++dropped;
            return false;
        }
        report_dropped();
        return true;
    }

private:
    void report_dropped()
    {
        if (dropped == 0)
            return;
        const auto count = std::to_string(dropped);
        dropped = 0;
        warning("log_lines_dropped", {{"count", count}});
    }

    token_bucket bucket;
    std::uint64_t dropped{0};
};

rate_limit& decision_limit()
{
    static rate_limit limit(decisions_per_second);
    return limit;
}

rate_limit& problem_limit()
{
    static rate_limit limit(problems_per_second);
    return limit;
}

} // namespace internal

void open(std::string_view instance, std::string_view level)
{
    internal::make_stdout_nonblocking();
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    auto console = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::helpers::Pool pool;
    console->activateOptions(pool);
    auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->setBufferSize(internal::max_queued_lines);
    async->setBlocking(false);
    async->addAppender(console);
    async->activateOptions(pool);
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(async);
    root->setLevel(log4cxx::Level::toLevel(std::string(level)));
    log4cxx::MDC::put("instance", std::string(instance));
}

void state(std::string_view event, std::initializer_list<field> fields)
{
    internal::with_fields(
        fields, [&] { LOG4CXX_INFO(internal::logger(), std::string(event)); });
}

void warning(std::string_view event, std::initializer_list<field> fields)
{
    internal::with_fields(
        fields, [&] { LOG4CXX_WARN(internal::logger(), std::string(event)); });
}

void decision(std::string_view event, std::initializer_list<field> fields)
{
    if (internal::decision_limit().take())
        state(event, fields);
}

void problem(std::string_view event, std::initializer_list<field> fields)
{
    if (internal::problem_limit().take())
        warning(event, fields);
}

} // namespace coursejunction::log
