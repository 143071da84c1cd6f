/*! @file
 * @brief Strong types for ids and units.
 */
#ifndef COURSEJUNCTION_CORE_STRONG_HPP
#define COURSEJUNCTION_CORE_STRONG_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

#include "coursejunction/core/fwd.hpp"

namespace coursejunction
{

/*! @brief Wraps a value so that ids of different kinds cannot be mixed.
 * @tparam Tag Empty type that names the kind.
 * @tparam Value Type of the wrapped value. */
template <typename Tag, typename Value>
class strong
{
public:
    using value_type = Value;

    strong() = default;
    explicit strong(Value init) : raw(std::move(init)) {}

    /*! @brief Returns the wrapped value. */
    [[nodiscard]] const Value& value() const noexcept { return raw; }

    /*! @brief Returns whether the wrapped value is the default value. */
    [[nodiscard]] bool empty() const { return raw == Value{}; }

    friend auto operator<=>(const strong&, const strong&) = default;

    /*! @brief Serializes the wrapped value. */
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(raw);
    }

private:
    Value raw{};
};

} // namespace coursejunction

/*! @brief Hashes the wrapped value. */
template <typename Tag, typename Value>
struct std::hash<coursejunction::strong<Tag, Value>>
{
    std::size_t operator()(const coursejunction::strong<Tag, Value>& it) const
    {
        return std::hash<Value>{}(it.value());
    }
};

#endif
