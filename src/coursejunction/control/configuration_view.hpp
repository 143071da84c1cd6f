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

/*! @brief Holds the newest configuration seen; each descends from the one
 * before, whoever brings it: the key-value service, a peer or a stale read. */
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
        if (next.current_revision() <= in_force.current_revision() ||
            diverges_from(next))
        {
            refused_older +=
                next.current_revision() < in_force.current_revision() ? 1 : 0;
            return false;
        }
        in_force = std::move(next);
        written = in_force.to_json();
        return true;
    }

    /*! @brief Tells whether another one and the one in force have changes that
     * the other lacks. */
    [[nodiscard]] bool diverges_from(const configuration& other) const
    {
        return !other.descends_from(in_force) && !in_force.descends_from(other);
    }

    /*! @brief Returns the configuration in force. */
    [[nodiscard]] const configuration& current() const noexcept
    {
        return in_force;
    }

    /*! @brief Returns the text of the configuration in force. */
    [[nodiscard]] const std::string& json_text() const noexcept
    {
        return written;
    }

    /*! @brief Tells whether anybody has yet said what is in force. */
    [[nodiscard]] bool has_configuration() const noexcept { return known; }

    /*! @brief Returns how many older ones were refused. */
    [[nodiscard]] std::uint64_t refused_older_count() const noexcept
    {
        return refused_older;
    }

private:
    configuration in_force;
    std::string written{configuration().to_json()};
    bool known{false};
    std::uint64_t refused_older{0};
};

} // namespace coursejunction

#endif
