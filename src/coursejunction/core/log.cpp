#include "coursejunction/core/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

namespace coursejunction::log
{

namespace internal
{

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

} // namespace internal

void open(std::string_view instance, std::string_view level)
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
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

} // namespace coursejunction::log
