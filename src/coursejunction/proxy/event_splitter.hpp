/*! @file
 * @brief Splits a byte stream into complete server-sent events. */
#ifndef COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP
#define COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursejunction
{

/*! @brief Buffers bytes and returns complete events (blocks that end with an
 * empty line, WHATWG HTML section 9.2). Keeps the id of the last one. */
class event_splitter
{
public:
    /*! @brief Appends bytes.
     * @return All events that are now complete, concatenated. */
    [[nodiscard]] std::string append(std::string_view bytes)
    {
        // The end of an event may be split between two calls.
        const auto first = buffer.size() > 3 ? buffer.size() - 3 : 0;
        buffer.append(bytes);
        std::size_t complete = 0;
        for (std::size_t at = first; at < buffer.size(); ++at)
        {
            if (ends_event(at))
            {
                note_event(std::string_view(buffer).substr(complete,
                                                           at + 1 - complete));
                complete = at + 1;
            }
        }
        auto events = buffer.substr(0, complete);
        buffer.erase(0, complete);
        return events;
    }

    /*! @brief Returns the bytes of an incomplete event. */
    [[nodiscard]] const std::string& incomplete() const noexcept
    {
        return buffer;
    }

    /*! @brief Discards the incomplete event, since its sender will not continue
     * it. */
    void discard_incomplete() { buffer.clear(); }

    /*! @brief Returns the id of the last complete event. */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const
    {
        return last_event_id;
    }

    /*! @brief Returns the number of complete events so far. */
    [[nodiscard]] std::size_t event_count() const noexcept { return count; }

private:
    [[nodiscard]] bool ends_event(std::size_t at) const
    {
        if (buffer[at] != '\n' || at == 0)
            return false;
        if (buffer[at - 1] == '\n')
            return true;
        return at >= 3 && buffer[at - 1] == '\r' && buffer[at - 2] == '\n';
    }

    void note_event(std::string_view event)
    {
        ++count;
        while (!event.empty())
        {
            const auto end = event.find('\n');
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
};

} // namespace coursejunction

#endif
