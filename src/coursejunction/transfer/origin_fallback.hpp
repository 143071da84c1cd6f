/*! @file
 * @brief Chooses between the origin and the weight store that stands in.
 */
#ifndef COURSEJUNCTION_TRANSFER_ORIGIN_FALLBACK_HPP
#define COURSEJUNCTION_TRANSFER_ORIGIN_FALLBACK_HPP

#include <cstdint>

namespace coursejunction
{

/*! @brief Where the first copy of weights comes from. */
enum class weight_source : std::uint8_t
{
    origin, /*!< The origin of all weights. */
    store   /*!< The weight store, which holds the same. */
};

/*! @brief Remembers which of two sources of weights to ask next; pure.
 *
 * A failure moves on to the other source, whichever was asked. Several calls
 * are open at once and fail together, so that counting failures would lead
 * back to the source that has just failed. */
class origin_fallback
{
public:
    /*! @param has_store Whether there is a weight store at all. */
    explicit origin_fallback(bool has_store) : other_exists(has_store) {}

    /*! @brief Returns the source to ask now. */
    [[nodiscard]] weight_source current() const noexcept { return now_asked; }

    /*! @brief Notes that a call to a source failed. */
    void record_failure(weight_source at) noexcept
    {
        if (!other_exists || at != now_asked)
            return;
        now_asked = at == weight_source::origin ? weight_source::store
                                                : weight_source::origin;
    }

private:
    bool other_exists;
    weight_source now_asked{weight_source::origin};
};

} // namespace coursejunction

#endif
