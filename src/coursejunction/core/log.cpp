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

/*! @brief Lines that wait for the writing thread; about 1 MB. */
constexpr int most_waiting = 2048;

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

/*! @brief Makes writes fail rather than wait when standard output is a pipe
 * that nobody reads. A terminal is left alone: it is shared. */
void never_wait_for_reader()
{
    struct stat kind
    {
    };
    if (fstat(STDOUT_FILENO, &kind) != 0 ||
        (!S_ISFIFO(kind.st_mode) && !S_ISSOCK(kind.st_mode)))
        return;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/*! @brief Lets lines pass at a rate and tells how many it held back. */
class allowance
{
public:
    explicit allowance(double per_second) : bucket(per_second, per_second) {}

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
        tell_dropped();
        return true;
    }

private:
    void tell_dropped()
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

allowance& decisions()
{
    static allowance one(decisions_per_second);
    return one;
}

allowance& problems()
{
    static allowance one(problems_per_second);
    return one;
}

} // namespace internal

void open(std::string_view instance, std::string_view level)
{
    internal::never_wait_for_reader();
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    auto console = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::helpers::Pool pool;
    console->activateOptions(pool);
    auto apart = std::make_shared<log4cxx::AsyncAppender>();
    apart->setBufferSize(internal::most_waiting);
    apart->setBlocking(false);
    apart->addAppender(console);
    apart->activateOptions(pool);
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(apart);
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
    if (internal::decisions().take())
        state(event, fields);
}

void problem(std::string_view event, std::initializer_list<field> fields)
{
    if (internal::problems().take())
        warning(event, fields);
}

} // namespace coursejunction::log
