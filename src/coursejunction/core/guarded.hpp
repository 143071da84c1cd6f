/*! @file
 * @brief Callbacks that may safely outlive their owner.
 */
#ifndef COURSEJUNCTION_CORE_GUARDED_HPP
#define COURSEJUNCTION_CORE_GUARDED_HPP

#include <memory>
#include <utility>

namespace coursejunction
{

/*! @brief Wraps a callback so that it does nothing once its owner is destroyed.
 * @param owner Kept alive while the callback runs. */
template <typename Owner, typename Call>
[[nodiscard]] auto guarded_by(std::weak_ptr<Owner> owner, Call call)
{
    return
        [owner = std::move(owner), call = std::move(call)](auto&&... arguments)
    {
        if (const auto held = owner.lock())
            call(std::forward<decltype(arguments)>(arguments)...);
    };
}

} // namespace coursejunction

#endif
