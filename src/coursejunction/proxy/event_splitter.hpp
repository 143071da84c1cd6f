/*! @file
 * @brief Splits a byte stream into complete server-sent events. */
#ifndef COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP
#define COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursejunction
{

/*! @brief Buffers bytes and returns complete events: blocks that end with an
 * empty line, where a line ends with LF, CRLF or CR (WHATWG HTML section 9.2).
 * Keeps the id of the last one. */
class event_splitter
{
public:
    /*! @brief Appends bytes.
     * @return All events that are now complete, concatenated. */
    [[nodiscard]] std::string append(std::string_view bytes)
    {
        const auto first = buffer.size();
        buffer.append(bytes);
        std::size_t complete = 0;
        for (std::size_t at = first; at < buffer.size(); ++at)
        {
            if (!ends_event(buffer[at], at == complete))
                continue;
            note_event(
                std::string_view(buffer).substr(complete, at + 1 - complete));
            complete = at + 1;
        }
        auto events = buffer.substr(0, complete);
        buffer.erase(0, complete);
        return events;
    }

    /*! @brief Returns the bytes after the last complete event. */
    [[nodiscard]] const std::string& incomplete() const noexcept
    {
        return buffer;
    }

    /*! @brief Returns whether an event has begun and is not complete. */
    [[nodiscard]] bool inside_event() const noexcept { return event_begun; }

    /*! @brief Discards the incomplete event, since its sender will not continue
     * it. */
    void discard_incomplete()
    {
        buffer.clear();
        event_begun = false;
        line_begun = false;
        after_carriage_return = false;
    }

    /*! @brief Returns the id of the last complete event. */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const
    {
        return last_event_id;
    }

    /*! @brief Returns the number of complete events so far. */
    [[nodiscard]] std::size_t event_count() const noexcept { return count; }

private:
    static constexpr std::string_view line_ends = "\r\n";

    /*! @brief Takes the next byte.
     * @param after_event It follows a complete event.
     * @return Whether an event, or the line end after it, ends with it. */
    [[nodiscard]] bool ends_event(char byte, bool after_event)
    {
        const bool follows_return = after_carriage_return;
        after_carriage_return = byte == '\r';
        if (byte == '\n' && follows_return)
            return after_event;
        if (line_ends.find(byte) == std::string_view::npos)
        {
            line_begun = true;
            event_begun = true;
            return false;
        }
        const bool ends = event_begun && !line_begun;
        line_begun = false;
        if (ends)
            event_begun = false;
        return ends;
    }

    void note_event(std::string_view event)
    {
        if (event.find_first_not_of(line_ends) == std::string_view::npos)
            return;
        ++count;
        while (!event.empty())
        {
            const auto end = event.find_first_of(line_ends);
            auto line = event.substr(0, end);
            event.remove_prefix(end == std::string_view::npos ? event.size()
                                                              : end + 1);
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto parsed =
                std::from_chars(line.data(), line.data() + line.size(), id);
            if (parsed.ec == std::errc{})
                last_event_id = id;
        }
    }

    std::string buffer;
    std::optional<std::uint64_t> last_event_id;
    std::size_t count{0};
    bool event_begun{false};
    bool line_begun{false};
    bool after_carriage_return{false};
};

} // namespace coursejunction

#endif
