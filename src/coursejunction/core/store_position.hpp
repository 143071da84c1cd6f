/*! @file
 * @brief Positions in the history of the platform's store; performs no I/O.
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

/*! @brief A revision of the store within an era. A rollback of the store to an
 * older copy begins a new era, which assigns the same revision numbers again to
 * other contents. Positions are therefore ordered by era first. */
struct store_position
{
    store_position() = default;

    /*! @brief Position in a store that does not report an era. */
    store_position(std::uint64_t number) : revision(number) {}

    store_position(std::uint64_t store_era, std::uint64_t number)
        : era(store_era), revision(number)
    {
    }

    /*! @brief Parses the output of `text`; returns {0, 0} for invalid text. */
    [[nodiscard]] static store_position parse(std::string_view text)
    {
        store_position parsed;
        const auto* end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, parsed.era);
        if (read.ec != std::errc() || read.ptr == end || *read.ptr != '.' ||
            std::from_chars(read.ptr + 1, end, parsed.revision).ec !=
                std::errc())
            return {};
        return parsed;
    }

    /*! @brief Returns "era.revision" in decimal. */
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
