/*! @file
 * @brief Immutable text whose copies share one buffer.
 */
#ifndef COURSEJUNCTION_CORE_SHARED_TEXT_HPP
#define COURSEJUNCTION_CORE_SHARED_TEXT_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace coursejunction
{

/*! @brief A text that may be large and that several owners keep, as the body of
 * a request whose attempts are sent one after the other. */
class shared_text
{
public:
    shared_text() = default;

    // Implicit, so that it takes the place of a std::string.
    shared_text(std::string text)
        : held(text.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(text)))
    {
    }

    operator std::string_view() const noexcept { return view(); }

    [[nodiscard]] std::string_view view() const noexcept
    {
        return held ? std::string_view(*held) : std::string_view{};
    }

    [[nodiscard]] std::size_t size() const noexcept { return view().size(); }
    [[nodiscard]] bool empty() const noexcept { return held == nullptr; }

private:
    std::shared_ptr<const std::string> held; /*!< Null for an empty text. */
};

} // namespace coursejunction

#endif
