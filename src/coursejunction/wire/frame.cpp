#include "coursejunction/wire/frame.hpp"

#include <array>
#include <cstring>

#include <openssl/crypto.h>

#include "coursejunction/core/assert.hpp"
#include "coursejunction/core/digest.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::array<char, 2> magic{'C', 'J'};
constexpr std::uint8_t flag_hashed_payload = 1;
constexpr std::size_t compact_above = std::size_t{1} << 16U;
constexpr std::size_t max_idle_capacity = std::size_t{1} << 17U;

struct prefix
{
    std::uint8_t version;
    std::uint8_t type;
    std::uint8_t key_number;
    std::uint8_t flags;
    std::uint32_t head_length;
    std::uint32_t payload_length;
    std::uint64_t sequence;
};

template <typename Number>
void put(std::string& into, Number value)
{
    for (std::size_t at = 0; at < sizeof(Number); ++at)
        into.push_back(static_cast<char>((value >> (8 * at)) & 0xffU));
}

template <typename Number>
Number take(std::string_view from, std::size_t at)
{
    Number value = 0;
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
        value |=
            static_cast<Number>(static_cast<unsigned char>(from[at + byte]))
            << (8 * byte);
    return value;
}

std::string encode(const prefix& from)
{
    std::string bytes(magic.begin(), magic.end());
    bytes.reserve(frame_prefix_bytes);
    put(bytes, from.version);
    put(bytes, from.type);
    put(bytes, from.key_number);
    put(bytes, from.flags);
    put(bytes, std::uint16_t{0});
    put(bytes, from.head_length);
    put(bytes, from.payload_length);
    put(bytes, from.sequence);
    return bytes;
}

result<prefix> decode(std::string_view bytes)
{
    if (bytes[0] != magic[0] || bytes[1] != magic[1])
        return failure(error_kind::refused, "frame has a wrong magic number");
    prefix read{};
    read.version = take<std::uint8_t>(bytes, 2);
    if (read.version != protocol_version)
        return failure(error_kind::refused,
                       "protocol version " + std::to_string(read.version) +
                           " is not supported, expected " +
                           std::to_string(protocol_version));
    read.type = take<std::uint8_t>(bytes, 3);
    read.key_number = take<std::uint8_t>(bytes, 4);
    read.flags = take<std::uint8_t>(bytes, 5);
    read.head_length = take<std::uint32_t>(bytes, 8);
    read.payload_length = take<std::uint32_t>(bytes, 12);
    read.sequence = take<std::uint64_t>(bytes, 16);
    if (read.head_length > max_head_bytes)
        return failure(error_kind::refused, "head exceeds its size limit");
    if (read.payload_length > max_payload_bytes)
        return failure(error_kind::refused, "payload exceeds its size limit");
    if (read.type < static_cast<std::uint8_t>(frame_type::hello) ||
        read.type > static_cast<std::uint8_t>(last_frame_type))
        return failure(error_kind::refused, "unknown frame type");
    return read;
}

bool codes_equal(const message_code& code, std::string_view bytes)
{
    return CRYPTO_memcmp(code.data(), bytes.data(), code.size()) == 0;
}

void append_code(std::string& into, const message_code& code)
{
    into.append(reinterpret_cast<const char*>(code.data()), code.size());
}

std::string_view shared_key(const key_ring& ring)
{
    const auto found = ring.keys.find(ring.active);
    COURSEJUNCTION_ASSERT(found != ring.keys.end(),
                          "the key ring lacks its active key");
    return found->second;
}

} // namespace internal

frame_sealer::frame_sealer(const key_ring& ring)
    : key(internal::shared_key(ring)), key_number(ring.active)
{
}

void frame_sealer::use_session_key(std::string session)
{
    key = std::move(session);
}

std::string frame_sealer::seal(frame_type type, std::string_view head,
                               std::string_view payload, bool hashed_payload)
{
    COURSEJUNCTION_ASSERT(head.size() <= max_head_bytes,
                          "head exceeds its size limit");
    COURSEJUNCTION_ASSERT(payload.size() <= max_payload_bytes,
                          "payload exceeds its size limit");
    internal::prefix prefix{};
    prefix.version = protocol_version;
    prefix.type = static_cast<std::uint8_t>(type);
    prefix.key_number = key_number;
    prefix.flags = hashed_payload ? internal::flag_hashed_payload : 0;
    prefix.head_length = static_cast<std::uint32_t>(head.size());
    prefix.payload_length = static_cast<std::uint32_t>(payload.size());
    prefix.sequence = next_sequence++;
    auto bytes = internal::encode(prefix);
    bytes.reserve(bytes.size() + head.size() + payload.size() +
                  frame_code_bytes);
    bytes.append(head);
    const auto code =
        keyed_code(key, bytes, hashed_payload ? std::string_view{} : payload);
    bytes.append(payload);
    internal::append_code(bytes, code);
    return bytes;
}

frame_opener::frame_opener(const key_ring& ring) : keys(ring.keys) {}

void frame_opener::use_session_key(std::string session)
{
    session_key = std::move(session);
}

void frame_opener::append(std::string_view bytes)
{
    if (consumed > internal::compact_above || consumed == buffer.size())
    {
        buffer.erase(0, consumed);
        consumed = 0;
        // Frees the memory of a burst once it has been processed.
        if (buffer.empty() && buffer.capacity() > internal::max_idle_capacity)
            buffer.shrink_to_fit();
    }
    buffer.append(bytes);
}

result<std::optional<frame>> frame_opener::next()
{
    const auto buffered = std::string_view(buffer).substr(consumed);
    if (buffered.size() < frame_prefix_bytes)
        return std::optional<frame>{};
    const auto prefix = internal::decode(buffered);
    if (!prefix)
        return failure(prefix.error().kind, prefix.error().message);
    const auto& read = prefix.value();
    const bool hashed = (read.flags & internal::flag_hashed_payload) != 0;
    if (hashed &&
        read.type != static_cast<std::uint8_t>(frame_type::chunk_reply))
        return failure(
            error_kind::refused,
            "only chunks may omit the payload from the authentication code");
    const auto payload_at = frame_prefix_bytes + read.head_length;
    const auto total = payload_at + read.payload_length + frame_code_bytes;
    if (buffered.size() < total)
        return std::optional<frame>{};
    const auto key = keys.find(read.key_number);
    if (key == keys.end())
        return failure(error_kind::refused, "unknown key number");
    const auto payload = buffered.substr(payload_at, read.payload_length);
    const auto code = keyed_code(
        session_key.empty() ? key->second : session_key,
        buffered.substr(0, payload_at), hashed ? std::string_view{} : payload);
    if (!internal::codes_equal(code, buffered.substr(total - frame_code_bytes)))
        return failure(error_kind::refused,
                       "frame has a wrong authentication code");
    if (read.sequence != expected_sequence)
        return failure(error_kind::refused,
                       "wrong sequence number: a frame was replayed or lost");
    ++expected_sequence;
    frame opened;
    opened.type = static_cast<frame_type>(read.type);
    opened.key_number = read.key_number;
    opened.head = buffered.substr(frame_prefix_bytes, read.head_length);
    opened.payload = payload;
    consumed += total;
    return std::optional<frame>(std::move(opened));
}

std::string session_key(std::string_view shared, std::string_view client_nonce,
                        std::string_view server_nonce,
                        std::string_view direction)
{
    std::string joined(client_nonce);
    joined.append(server_nonce);
    joined.append(direction);
    return keyed_digest(shared, joined);
}

std::string seal_datagram(const key_ring& ring, frame_type type,
                          std::string_view head)
{
    frame_sealer sealer(ring);
    return sealer.seal(type, head);
}

result<frame> open_datagram(const key_ring& ring, std::string_view bytes)
{
    frame_opener opener(ring);
    opener.append(bytes);
    auto opened = opener.next();
    if (!opened)
        return failure(opened.error().kind, opened.error().message);
    if (!opened.value() || opener.size() != 0)
        return failure(error_kind::refused,
                       "datagram is truncated or has trailing bytes");
    return std::move(*opened.value());
}

} // namespace coursejunction
