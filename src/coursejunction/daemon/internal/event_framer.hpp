/*! @file
 * @brief Splits the stream of a response at the ends of events.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_EVENT_FRAMER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_EVENT_FRAMER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace coursejunction::internal
{

/*! @brief Passes on only complete events, so that another upstream can resume
 * the stream exactly after the last one; pure. */
class event_framer
{
public:
    /*! @brief Adds bytes of the stream.
     * @return The events that they complete; empty for none. */
    [[nodiscard]] std::string feed(std::string_view bytes)
    {
        pending += bytes;
        const auto end = pending.rfind(event_end);
        if (end == std::string::npos)
            return {};
        auto complete = pending.substr(0, end + event_end.size());
        pending.erase(0, complete.size());
        count_data_events(complete);
        return complete;
    }

    /*! @brief Drops an incomplete event; another attempt sends it again. */
    void discard_partial() { pending.clear(); }

    /*! @brief Returns whether no incomplete event is pending. */
    [[nodiscard]] bool at_boundary() const noexcept { return pending.empty(); }

    /*! @brief Returns the number of events with data passed on so far; comments
     * do not count. */
    [[nodiscard]] std::uint32_t data_events() const noexcept
    {
        return data_event_count;
    }

private:
    static constexpr std::string_view event_end = "\n\n";
    static constexpr std::string_view event_start = "data: {";

    void count_data_events(const std::string& complete)
    {
        for (auto at = complete.find(event_start); at != std::string::npos;
             at = complete.find(event_start, at + 1))
            ++data_event_count;
    }

    std::string pending; /*!< Start of an incomplete event. */
    std::uint32_t data_event_count{0};
};

} // namespace coursejunction::internal

#endif
