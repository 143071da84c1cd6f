/*! @file
 * @brief Callbacks that outlive their owner without harm.
 */
#ifndef COURSEJUNCTION_CORE_GUARDED_HPP
#define COURSEJUNCTION_CORE_GUARDED_HPP

#include <memory>
#include <utility>

namespace coursejunction
{

/*! @brief Returns a callback that does nothing once its owner is gone.
 * @param owner Held while the callback runs. */
template <typename Owner, typename Call>
[[nodiscard]] auto guarded_by(std::weak_ptr<Owner> owner, Call call)
{
    return [owner = std::move(owner), call = std::move(call)](auto&&... values)
    {
        if (const auto held = owner.lock())
            call(std::forward<decltype(values)>(values)...);
    };
}

} // namespace coursejunction

#endif
