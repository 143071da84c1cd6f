/*! @file
 * @brief Moments in the life of the platform's store; pure.
 */
#ifndef COURSEJUNCTION_CORE_STORE_POSITION_HPP
#define COURSEJUNCTION_CORE_STORE_POSITION_HPP

#include <charconv>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace coursejunction
{

/*! @brief A revision of the store within one of its eras. A store that comes
 * back from an older copy begins a new era, in which revisions are given out
 * again with other contents: they are compared within an era only. */
struct store_position
{
    store_position() = default;

    /*! @brief A revision of a store that tells no era. */
    store_position(std::uint64_t number) : revision(number) {}

    store_position(std::uint64_t in, std::uint64_t number)
        : era(in), revision(number)
    {
    }

    /*! @brief Reads what `text` returns; anything else is the start. */
    [[nodiscard]] static store_position parse(std::string_view text)
    {
        store_position made;
        const auto* end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, made.era);
        if (read.ec != std::errc() || read.ptr == end || *read.ptr != '.' ||
            std::from_chars(read.ptr + 1, end, made.revision).ec != std::errc())
            return {};
        return made;
    }

    [[nodiscard]] std::string text() const
    {
        return std::to_string(era) + "." + std::to_string(revision);
    }

    friend auto operator<=>(const store_position&,
                            const store_position&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(era, revision);
    }

    std::uint64_t era{0};
    std::uint64_t revision{0};
};

} // namespace coursejunction

#endif
