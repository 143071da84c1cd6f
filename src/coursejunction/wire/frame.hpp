/*! @file
 * @brief Authenticated frames with a size limit and a sequence number.
 *
 * Layout, little endian: magic (2 bytes), protocol version (1), type (1), key
 * number (1), flags (1), reserved (2), head length (4), payload length (4),
 * sequence (8); then the head, the payload and a message authentication code
 * (16). The code covers the prefix, the head and the payload, except a payload
 * that the receiver verifies by its hash (flag `hashed_payload`).
 */
#ifndef COURSEJUNCTION_WIRE_FRAME_HPP
#define COURSEJUNCTION_WIRE_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/wire/fwd.hpp"

namespace coursejunction
{

/*! @brief Kinds of frame. Numbers are never reused. */
enum class frame_type : std::uint8_t
{
    hello = 1,
    dispatch = 2,
    answer_part = 3,
    answer_end = 4,
    cancel = 5,
    report = 6,
    subscribe = 7,
    configuration_pull = 8,
    configuration_snapshot = 9,
    have = 10,
    chunk_request = 11,
    chunk_reply = 12,
    manifest_request = 13,
    manifest_reply = 14,
    permit_request = 15,
    permit_reply = 16,
    status_query = 17,
    status_reply = 18,
    heartbeat = 19,
    load_report = 20,
    crash_news = 21,
    claim_note = 22,
    claim_answer = 23
};

/*! @brief The frame type with the highest number. */
inline constexpr frame_type last_frame_type = frame_type::claim_answer;

/*! @brief Version in each frame; frames of any other version are refused. */
inline constexpr std::uint8_t protocol_version = 3;
inline constexpr std::size_t frame_prefix_bytes = 24;
inline constexpr std::size_t frame_code_bytes = 16;
inline constexpr std::size_t max_head_bytes = std::size_t{1} << 20U;
inline constexpr std::size_t max_payload_bytes = std::size_t{32} << 20U;

/*! @brief A received and verified frame. */
struct frame
{
    frame_type type{};
    std::uint8_t key_number{0}; /*!< Shared key that the sender uses. */
    std::string head;
    std::string payload;
};

/*! @brief Shared keys by number. The active key seals frames; any of the keys
 * opens them. */
struct key_ring
{
    std::map<std::uint8_t, std::string> keys;
    std::uint8_t active{0};
};

/*! @brief Authenticates and numbers the frames of one direction of a
 * connection; does not encrypt them. */
class frame_sealer
{
public:
    /*! @param ring Shared keys; the active one is used until a session key is
     * set. */
    explicit frame_sealer(const key_ring& ring);

    /*! @brief Seals all further frames with a session key. */
    void use_session_key(std::string key);

    /*! @brief Returns the bytes of a frame. Aborts the process if head or
     * payload exceed their limits.
     * @param hashed_payload The receiver verifies the payload by its hash, so
     * the authentication code does not cover it. */
    [[nodiscard]] std::string seal(frame_type type, std::string_view head,
                                   std::string_view payload = {},
                                   bool hashed_payload = false);

private:
    std::string key;
    std::uint8_t key_number;
    std::uint64_t next_sequence{0};
};

/*! @brief Verifies and splits the frames of one direction of a connection. */
class frame_opener
{
public:
    explicit frame_opener(const key_ring& ring);

    /*! @brief Opens all further frames with a session key. */
    void use_session_key(std::string key);

    /*! @brief Appends received bytes to the buffer. */
    void append(std::string_view bytes);

    /*! @brief Removes the next complete frame from the buffer.
     * @return A frame, no value if more bytes are needed, or `refused` if the
     * connection must be closed. */
    [[nodiscard]] result<std::optional<frame>> next();

    /*! @brief Returns the number of buffered bytes. */
    [[nodiscard]] std::size_t size() const { return buffer.size() - consumed; }

private:
    std::map<std::uint8_t, std::string> keys;
    std::string session_key;
    std::uint64_t expected_sequence{0};
    std::string buffer;
    std::size_t consumed{0};
};

/*! @brief Derives the session key of one direction of a connection: an HMAC of
 * both nonces and the direction under the shared key. */
[[nodiscard]] std::string session_key(std::string_view shared,
                                      std::string_view client_nonce,
                                      std::string_view server_nonce,
                                      std::string_view direction);

/*! @brief Seals a datagram with the active key of the ring. */
[[nodiscard]] std::string seal_datagram(const key_ring& ring, frame_type type,
                                        std::string_view head);

/*! @brief Opens a datagram.
 * @return The frame, or `refused`. Replays are not detected here: the caller
 * must check the sequence number in the head. */
[[nodiscard]] result<frame> open_datagram(const key_ring& ring,
                                          std::string_view bytes);

} // namespace coursejunction

#endif
