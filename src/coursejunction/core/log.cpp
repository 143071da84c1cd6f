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

#include "coursejunction/core/log_limit.hpp"

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

/*! @brief Returns whether a line may be written; reports lines that were
 * dropped before it. */
bool may_write(log_limit& limit)
{
    const auto now = std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
    if (!limit.take(now))
        return false;
    if (const auto dropped = limit.take_report(now))
        warning("log_lines_dropped", {{"count", std::to_string(dropped)}});
    return true;
}

log_limit& decision_limit()
{
    static log_limit limit(decisions_per_second);
    return limit;
}

log_limit& problem_limit()
{
    static log_limit limit(problems_per_second);
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
    if (internal::may_write(internal::decision_limit()))
        state(event, fields);
}

void problem(std::string_view event, std::initializer_list<field> fields)
{
    if (internal::may_write(internal::problem_limit()))
        warning(event, fields);
}

} // namespace coursejunction::log
