/*! @file
 * @brief The configuration that this process acts on.
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

/*! @brief Holds the newest configuration that was offered. It replaces the
 * current one only by a descendant with a higher revision, so an older or
 * diverging copy from the key-value service or a peer can't take over. */
class configuration_view
{
public:
    /*! @brief Offers a configuration as JSON.
     * @return True when it became the current one, false when it is not newer
     * or has diverged, `invalid` when it cannot be parsed. */
    [[nodiscard]] result<bool> offer(std::string_view text)
    {
        auto parsed = configuration::parse(text);
        if (!parsed)
            return failure(parsed.error().kind, parsed.error().message);
        return offer(std::move(parsed.value()));
    }

    /*! @brief Offers a parsed configuration.
     * @return True when it became the current one. */
    bool offer(configuration next)
    {
        offered = true;
        if (next.current_revision() <= active.current_revision() ||
            diverges_from(next))
        {
            refused_older +=
                next.current_revision() < active.current_revision() ? 1 : 0;
            return false;
        }
        active = std::move(next);
        active_json = active.to_json();
        return true;
    }

    /*! @brief Returns whether the current configuration and another one each
     * contain a change that the other lacks. */
    [[nodiscard]] bool diverges_from(const configuration& other) const
    {
        return !other.descends_from(active) && !active.descends_from(other);
    }

    /*! @brief Returns the current configuration; empty before the first
     * offer. */
    [[nodiscard]] const configuration& current() const noexcept
    {
        return active;
    }

    /*! @brief Returns the current configuration as JSON. */
    [[nodiscard]] const std::string& json_text() const noexcept
    {
        return active_json;
    }

    /*! @brief Returns whether any configuration has been offered, even an empty
     * one. */
    [[nodiscard]] bool has_configuration() const noexcept { return offered; }

    /*! @brief Returns how many offers were refused because their revision was
     * lower. */
    [[nodiscard]] std::uint64_t refused_older_count() const noexcept
    {
        return refused_older;
    }

private:
    configuration active;
    std::string active_json{configuration().to_json()};
    bool offered{false};
    std::uint64_t refused_older{0};
};

} // namespace coursejunction

#endif
