/*! @file
 * @brief Cuts a stream of bytes into whole server-sent events.
 */
#ifndef COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP
#define COURSEJUNCTION_PROXY_EVENT_SPLITTER_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursejunction
{

/*! @brief Gathers bytes and gives whole events (a block that ends with an
 * empty line, WHATWG HTML section 9.2) with the id of the last of them. */
class event_splitter
{
public:
    /*! @brief Takes bytes.
     * @return Every whole event that is there now, as one run of bytes. */
    [[nodiscard]] std::string take(std::string_view bytes)
    {
        const auto from = held.size() > 3 ? held.size() - 3 : 0;
        held.append(bytes);
        std::size_t whole = 0;
        for (std::size_t at = from; at < held.size(); ++at)
        {
            if (ends_event(at))
            {
                note_id(std::string_view(held).substr(whole, at + 1 - whole));
                whole = at + 1;
            }
        }
        auto events = held.substr(0, whole);
        held.erase(0, whole);
        return events;
    }

    /*! @brief Returns the bytes of an event that has not ended. */
    [[nodiscard]] const std::string& rest() const noexcept { return held; }

    /*! @brief Forgets an event that has not ended: its sender is gone. */
    void drop_rest() { held.clear(); }

    /*! @brief Returns the id of the last whole event. */
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last; }

    /*! @brief Returns how many whole events came. */
    [[nodiscard]] std::size_t size() const noexcept { return count; }

private:
    [[nodiscard]] bool ends_event(std::size_t at) const
    {
        if (held[at] != '\n' || at == 0)
            return false;
        if (held[at - 1] == '\n')
            return true;
        return at >= 3 && held[at - 1] == '\r' && held[at - 2] == '\n';
    }

    void note_id(std::string_view event)
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
            const auto read =
                std::from_chars(line.data(), line.data() + line.size(), id);
            if (read.ec == std::errc{})
                last = id;
        }
    }

    std::string held;
    std::optional<std::uint64_t> last;
    std::size_t count{0};
};

} // namespace coursejunction

#endif
