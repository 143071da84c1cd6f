/*! @file
 * @brief The configuration that is in force in this process.
 */
#ifndef COURSEJUNCTION_CONTROL_CONFIGURATION_VIEW_HPP
#define COURSEJUNCTION_CONTROL_CONFIGURATION_VIEW_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/resource/configuration.hpp"

namespace coursejunction
{

/*! @brief Holds the newest configuration seen; its revision only rises,
 * whoever brings one: the key-value service, a peer or a stale read. */
class configuration_view
{
public:
    /*! @brief Offers a configuration as text.
     * @return True when it is newer and now in force, false when it is not
     * newer, or `invalid`. */
    [[nodiscard]] result<bool> offer(std::string_view text)
    {
        auto parsed = configuration::parse(text);
        if (!parsed)
            return failure(parsed.error().kind, parsed.error().message);
        return offer(std::move(parsed.value()));
    }

    /*! @brief Offers a parsed configuration. */
    bool offer(configuration next)
    {
        known = true;
        if (next.number() <= in_force.number())
        {
            refused_older += next.number() < in_force.number() ? 1 : 0;
            return false;
        }
        in_force = std::move(next);
        written = in_force.text();
        return true;
    }

    /*! @brief Returns the configuration in force. */
    [[nodiscard]] const configuration& current() const noexcept
    {
        return in_force;
    }

    /*! @brief Returns the text of the configuration in force. */
    [[nodiscard]] const std::string& text() const noexcept { return written; }

    /*! @brief Tells whether anybody has yet said what is in force. */
    [[nodiscard]] bool ready() const noexcept { return known; }

    /*! @brief Returns how many older ones were refused. */
    [[nodiscard]] std::uint64_t refused() const noexcept
    {
        return refused_older;
    }

private:
    configuration in_force;
    std::string written{configuration().text()};
    bool known{false};
    std::uint64_t refused_older{0};
};

} // namespace coursejunction

#endif
