#include "coursejunction/wire/codec.hpp"

#include <array>
#include <cstring>
#include <stdexcept>
#include <type_traits>

#include <cereal/cereal.hpp>
#include <cereal/details/traits.hpp>

#include "coursejunction/wire/fleet_message.hpp"
#include "coursejunction/wire/mirror_sum.hpp"
#include "coursejunction/wire/stored_versions.hpp"
#include "coursejunction/wire/stored_weights.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief cereal output archive that appends little-endian data to a string. */
class writer : public cereal::OutputArchive<writer>
{
public:
    writer() : cereal::OutputArchive<writer>(this) {}

    void bytes(const void* from, std::size_t count)
    {
        text.append(static_cast<const char*>(from), count);
    }

    std::string text;
};

/*! @brief cereal input archive that reads from a bounded view; throws
 * `std::length_error` if the data is malformed. */
class reader : public cereal::InputArchive<reader>
{
public:
    explicit reader(std::string_view from)
        : cereal::InputArchive<reader>(this), remaining(from)
    {
    }

    void bytes(void* into, std::size_t count)
    {
        if (count > remaining.size())
            throw std::length_error("head is truncated");
        std::memcpy(into, remaining.data(), count);
        remaining.remove_prefix(count);
    }

    /*! @brief Reads the element count of a list or string; throws if so many
     * elements cannot fit into the remaining bytes.
     * @param element_bytes Minimum encoded size of an element. */
    std::size_t read_count(std::size_t element_bytes)
    {
        std::uint32_t count = 0;
        bytes(&count, sizeof(count));
        if (count > remaining.size() / element_bytes)
            throw std::length_error("length exceeds the remaining bytes");
        return count;
    }

    std::string_view remaining;
};

template <typename Value>
concept arithmetic = std::is_arithmetic_v<Value>;

template <arithmetic Value>
void CEREAL_SAVE_FUNCTION_NAME(writer& archive, const Value& value)
{
    archive.bytes(&value, sizeof(value));
}

template <arithmetic Value>
void CEREAL_LOAD_FUNCTION_NAME(reader& archive, Value& value)
{
    if constexpr (std::is_same_v<Value, bool>)
    {
        std::uint8_t raw = 0;
        archive.bytes(&raw, sizeof(raw));
        value = raw != 0;
    }
    else
    {
        archive.bytes(&value, sizeof(value));
    }
}

void CEREAL_SAVE_FUNCTION_NAME(writer& archive, const std::string& value)
{
    const auto count = static_cast<std::uint32_t>(value.size());
    archive.bytes(&count, sizeof(count));
    archive.bytes(value.data(), value.size());
}

void CEREAL_LOAD_FUNCTION_NAME(reader& archive, std::string& value)
{
    value.resize(archive.read_count(1));
    archive.bytes(value.data(), value.size());
}

template <std::size_t Size>
void CEREAL_SAVE_FUNCTION_NAME(writer& archive,
                               const std::array<std::uint8_t, Size>& value)
{
    archive.bytes(value.data(), value.size());
}

template <std::size_t Size>
void CEREAL_LOAD_FUNCTION_NAME(reader& archive,
                               std::array<std::uint8_t, Size>& value)
{
    archive.bytes(value.data(), value.size());
}

/*! @brief Returns the minimum encoded size of a list element in bytes: for a
 * string the size of its length, for a struct its `least_bytes`, or 32 if it
 * has none. A value that is too high makes the decoder refuse a valid list at
 * the end of a message. */
template <typename Element>
constexpr std::size_t least_bytes()
{
    constexpr std::size_t default_struct_bytes = 32;
    if constexpr (std::is_arithmetic_v<Element>)
        return sizeof(Element);
    else if constexpr (std::is_same_v<Element, std::string>)
        return sizeof(std::uint32_t);
    else if constexpr (requires { Element::least_bytes; })
        return Element::least_bytes;
    else
        return default_struct_bytes;
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(writer& archive,
                               const std::vector<Element>& value)
{
    const auto count = static_cast<std::uint32_t>(value.size());
    archive.bytes(&count, sizeof(count));
    for (const auto& element : value)
        archive(element);
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(reader& archive, std::vector<Element>& value)
{
    constexpr std::size_t min_bytes = least_bytes<Element>();
    const auto count = archive.read_count(min_bytes);
    value.clear();
    value.reserve(count);
    for (std::size_t at = 0; at < count; ++at)
        archive(value.emplace_back());
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(writer& archive,
                               const message::trailing_list<Element>& value)
{
    if (!value.items.empty())
        archive(value.items);
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(reader& archive,
                               message::trailing_list<Element>& value)
{
    value.items.clear();
    if (!archive.remaining.empty())
        archive(value.items);
}

} // namespace internal

} // namespace coursejunction

CEREAL_SETUP_ARCHIVE_TRAITS(coursejunction::internal::reader,
                            coursejunction::internal::writer)

namespace coursejunction
{

template <typename Message>
std::string encode(const Message& from)
{
    internal::writer archive;
    archive(from);
    return std::move(archive.text);
}

template <typename Message>
result<Message> decode(std::string_view head)
{
    try
    {
        internal::reader archive(head);
        Message read;
        archive(read);
        if (!archive.remaining.empty())
            return failure(error_kind::refused, "head has trailing bytes");
        return read;
    }
    catch (const std::exception& caught)
    {
        return failure(error_kind::refused, caught.what());
    }
}

#define COURSEJUNCTION_CODEC(Name)                                             \
    template std::string encode(const message::Name&);                         \
    template result<message::Name> decode(std::string_view);

COURSEJUNCTION_CODEC(hello)
COURSEJUNCTION_CODEC(dispatch)
COURSEJUNCTION_CODEC(answer_part)
COURSEJUNCTION_CODEC(answer_end)
COURSEJUNCTION_CODEC(cancel)
COURSEJUNCTION_CODEC(load_report)
COURSEJUNCTION_CODEC(report)
COURSEJUNCTION_CODEC(subscribe)
COURSEJUNCTION_CODEC(configuration_pull)
COURSEJUNCTION_CODEC(configuration_snapshot)
COURSEJUNCTION_CODEC(have)
COURSEJUNCTION_CODEC(chunk_request)
COURSEJUNCTION_CODEC(chunk_reply)
COURSEJUNCTION_CODEC(manifest_request)
COURSEJUNCTION_CODEC(manifest_reply)
COURSEJUNCTION_CODEC(permit_request)
COURSEJUNCTION_CODEC(permit_reply)
COURSEJUNCTION_CODEC(status_query)
COURSEJUNCTION_CODEC(status_reply)
COURSEJUNCTION_CODEC(heartbeat)
COURSEJUNCTION_CODEC(crash_news)
COURSEJUNCTION_CODEC(claim_note)
COURSEJUNCTION_CODEC(claim_answer)
COURSEJUNCTION_CODEC(fleet_heartbeat)
COURSEJUNCTION_CODEC(mirror_page)
COURSEJUNCTION_CODEC(mirror_sum)
COURSEJUNCTION_CODEC(stored_quarantine)
COURSEJUNCTION_CODEC(stored_versions)
COURSEJUNCTION_CODEC(stored_weights)

} // namespace coursejunction
