/*! @file
 * @brief Cuts a stream of an answer into whole events.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_EVENT_FRAMER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_EVENT_FRAMER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace coursejunction::internal
{

/*! @brief Gives out whole events only, so that a stream can be resumed
 * elsewhere exactly behind the last one; pure. */
class event_framer
{
public:
    /*! @brief Takes bytes of the stream.
     * @return The events that are whole now; empty when none is. */
    [[nodiscard]] std::string feed(std::string_view bytes)
    {
        pending += bytes;
        const auto end = pending.rfind(event_end);
        if (end == std::string::npos)
            return {};
        auto whole = pending.substr(0, end + event_end.size());
        pending.erase(0, whole.size());
        count(whole);
        return whole;
    }

    /*! @brief Drops the start of an event: another attempt sends it anew. */
    void discard_partial() { pending.clear(); }

    /*! @brief Tells whether no event is half here. */
    [[nodiscard]] bool at_boundary() const noexcept { return pending.empty(); }

    /*! @brief Returns the events with data that were given out. */
    [[nodiscard]] std::uint32_t data_events() const noexcept { return events; }

private:
    static constexpr std::string_view event_end = "\n\n";
    static constexpr std::string_view event_start = "data: {";

    void count(const std::string& whole)
    {
        for (auto at = whole.find(event_start); at != std::string::npos;
             at = whole.find(event_start, at + 1))
            ++events;
    }

    std::string pending; /*!< Start of an event that is not yet whole. */
    std::uint32_t events{0};
};

} // namespace coursejunction::internal

#endif
