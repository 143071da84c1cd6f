/*! @file
 * @brief Chooses between the origin of weights and the weight store.
 */
#ifndef COURSEJUNCTION_TRANSFER_ORIGIN_FALLBACK_HPP
#define COURSEJUNCTION_TRANSFER_ORIGIN_FALLBACK_HPP

#include <cstdint>

namespace coursejunction
{

/*! @brief Where the first copy of weights is fetched from. */
enum class weight_source : std::uint8_t
{
    origin, /*!< The origin of all weights. */
    store   /*!< A mirror with the same content. */
};

/*! @brief Selects the source of weights to ask next. Does no I/O.
 *
 * A failure of the current source switches to the other one. Several calls are
 * open at the same time and fail together: if each failure switched, they would
 * lead back to the source that has just failed. */
class origin_fallback
{
public:
    /*! @param has_store Whether a weight store is configured. */
    explicit origin_fallback(bool has_store) : store_exists(has_store) {}

    /*! @brief Returns the source to ask now. */
    [[nodiscard]] weight_source current() const noexcept
    {
        return current_source;
    }

    /*! @brief Records that a call to a source failed. */
    void record_failure(weight_source source) noexcept
    {
        if (!store_exists || source != current_source)
            return;
        current_source = source == weight_source::origin
                             ? weight_source::store
                             : weight_source::origin;
    }

private:
    bool store_exists;
    weight_source current_source{weight_source::origin};
};

} // namespace coursejunction

#endif
