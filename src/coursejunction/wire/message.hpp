/*! @file
 * @brief Messages between the system's own processes.
 *
 * Each struct is the head of one frame; bulk bytes follow it as the frame's
 * payload and stay outside the archive. The order of members is the order on
 * the wire; a changed struct needs a new `protocol_version`.
 */
#ifndef COURSEJUNCTION_WIRE_MESSAGE_HPP
#define COURSEJUNCTION_WIRE_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/wire/crash_record.hpp"
#include "coursejunction/wire/frame.hpp"

namespace coursejunction
{

/*! @brief What became of a request. */
enum class outcome : std::uint8_t
{
    answered, /*!< The whole answer was given. */
    not_run,  /*!< Proved: it did not run and never will under this attempt. */
    unknown   /*!< It may have run, or was cut while it ran. */
};

/*! @brief Returns the name that callers see. */
[[nodiscard]] constexpr std::string_view to_string(outcome what)
{
    switch (what)
    {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

/*! @brief Why an attempt was refused before it started. */
enum class refusal : std::uint8_t
{
    none,        /*!< It was not refused. */
    busy,        /*!< Every slot is taken. */
    closed,      /*!< The gate is closed, or other weights are served. */
    leaving,     /*!< The side takes no new work. */
    claim,       /*!< It is not known who claimed the request. */
    unreachable, /*!< The upstream cannot be connected to. */
    duplicate,   /*!< The same request was started before. */
    cancelled    /*!< The caller left first. */
};

/*! @brief Returns a line for people. */
[[nodiscard]] constexpr std::string_view to_string(refusal why)
{
    switch (why)
    {
    case refusal::none:
        return "";
    case refusal::busy:
        return "every slot of the upstream is taken";
    case refusal::closed:
        return "the upstream is closed";
    case refusal::leaving:
        return "the upstream is leaving";
    case refusal::claim:
        return "the request cannot be claimed now";
    case refusal::unreachable:
        return "the upstream does not answer";
    case refusal::duplicate:
        return "the request was started before";
    case refusal::cancelled:
        return "the caller left";
    }
    return "";
}

namespace message
{

/*! @brief First frame of each end; carries a nonce for the session key. */
struct hello
{
    static constexpr auto type = frame_type::hello;
    std::string instance;
    std::string role;
    std::string nonce;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(instance, role, nonce);
    }
};

/*! @brief Entry to side: run a request. Payload: the body. */
struct dispatch
{
    static constexpr auto type = frame_type::dispatch;
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    std::string request;
    std::string organisation;
    std::string model;
    std::string path;
    std::int32_t priority{0};
    std::uint32_t deadline_ms{0};
    bool not_repeatable{false};
    std::uint64_t seed{0};        /*!< Of the sampling, the same for all
                                     attempts of a request. */
    std::uint32_t resume_from{0}; /*!< Events the caller already has. */
    std::string weights;          /*!< Needed weights; empty for any. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, attempt, request, organisation, model, path, priority,
                deadline_ms, not_repeatable, seed, resume_from, weights);
    }
};

/*! @brief Side to entry: part of an answer. Payload: its bytes. */
struct answer_part
{
    static constexpr auto type = frame_type::answer_part;
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    std::uint32_t index{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, attempt, index);
    }
};

/*! @brief Side to entry: the attempt has ended. */
struct answer_end
{
    static constexpr auto type = frame_type::answer_end;
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    outcome result{outcome::unknown};
    refusal refused{refusal::none};
    std::uint16_t status{0};
    std::uint32_t parts{0};
    std::uint32_t retry_after_ms{0};
    std::uint32_t load{0};
    std::string content_type;
    std::string weights;
    std::string reason;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, attempt, result, refused, status, parts, retry_after_ms,
                load, content_type, weights, reason);
    }
};

/*! @brief Entry to side: the caller has left. */
struct cancel
{
    static constexpr auto type = frame_type::cancel;
    std::uint64_t stream{0};
    std::uint32_t attempt{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, attempt);
    }
};

/*! @brief Side to entry: how busy it is and how far its transfer is. Sent
 * each second to entries that route to it when the load changed, and slowly
 * as a sign of life. */
struct load_report
{
    static constexpr auto type = frame_type::load_report;
    std::uint32_t running{0};
    std::uint32_t slots{0};
    std::uint64_t bytes_done{0};
    std::uint64_t bytes_total{0};
    std::uint64_t origin_bytes{0};
    std::uint64_t cross_hall_bytes{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(running, slots, bytes_done, bytes_total, origin_bytes,
                cross_hall_bytes);
    }
};

/*! @brief Side to entry: whole state of a replica, when it changes. */
struct report
{
    static constexpr auto type = frame_type::report;
    std::string instance;
    std::string region;
    std::string hall;
    std::string kind;
    std::string deployment;
    std::string model;
    std::string wanted;
    std::string serving;
    std::string phase;
    std::string reason;
    std::uint64_t revision{0};
    std::uint32_t running{0};
    std::uint32_t slots{0};
    std::uint64_t bytes_done{0};
    std::uint64_t bytes_total{0};
    std::uint64_t origin_bytes{0};
    std::uint64_t cross_hall_bytes{0};
    bool leaving{false};
    std::vector<std::uint64_t> cached_prefixes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(instance, region, hall, kind, deployment, model, wanted,
                serving, phase, reason, revision, running, slots, bytes_done,
                bytes_total, origin_bytes, cross_hall_bytes, leaving,
                cached_prefixes);
    }
};

/*! @brief Entry to side: send me reports. */
struct subscribe
{
    static constexpr auto type = frame_type::subscribe;
    bool routing{false}; /*!< The entry sends requests: it needs loads. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(routing);
    }
};

/*! @brief Asks a peer for a configuration newer than a revision. */
struct configuration_pull
{
    static constexpr auto type = frame_type::configuration_pull;
    std::uint64_t known{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(known);
    }
};

/*! @brief A whole configuration. Payload: the document. */
struct configuration_snapshot
{
    static constexpr auto type = frame_type::configuration_snapshot;
    std::uint64_t number{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number);
    }
};

/*! @brief Tells which chunks of a manifest the sender holds. */
struct have
{
    static constexpr auto type = frame_type::have;
    digest manifest;
    std::vector<std::uint32_t> chunks;
    std::uint32_t queue{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest, chunks, queue);
    }
};

/*! @brief Asks for a chunk. */
struct chunk_request
{
    static constexpr auto type = frame_type::chunk_request;
    digest manifest;
    std::uint32_t chunk{0};
    bool wait{false};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest, chunk, wait);
    }
};

/*! @brief What became of a chunk request. */
enum class chunk_status : std::uint8_t
{
    given,  /*!< The payload is the chunk. */
    busy,   /*!< The queue is full; ask another. */
    absent, /*!< The sender does not hold it. */
    foreign /*!< The sender does not take part in this manifest. */
};

/*! @brief Answers a chunk request. Payload: the chunk when given. */
struct chunk_reply
{
    static constexpr auto type = frame_type::chunk_reply;
    digest manifest;
    std::uint32_t chunk{0};
    chunk_status status{chunk_status::absent};
    std::uint32_t queue{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest, chunk, status, queue);
    }
};

/*! @brief Asks for a manifest by its hash. */
struct manifest_request
{
    static constexpr auto type = frame_type::manifest_request;
    digest manifest;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest);
    }
};

/*! @brief Answers with a manifest. Payload: its text, or empty. */
struct manifest_reply
{
    static constexpr auto type = frame_type::manifest_reply;
    digest manifest;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest);
    }
};

/*! @brief Side to entry: may I close for a load. */
struct permit_request
{
    static constexpr auto type = frame_type::permit_request;
    std::string instance;
    std::string hall;
    std::string deployment;
    std::string version;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(instance, hall, deployment, version);
    }
};

/*! @brief Entry to side: answer to a permit request. */
struct permit_reply
{
    static constexpr auto type = frame_type::permit_reply;
    std::string deployment;
    std::string version;
    bool granted{false};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(deployment, version, granted);
    }
};

/*! @brief Asks an entry for the replicas of its hall that it knows. */
struct status_query
{
    static constexpr auto type = frame_type::status_query;
    std::uint64_t query{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query);
    }
};

/*! @brief Answers a status query with the reports of one hall. */
struct status_reply
{
    static constexpr auto type = frame_type::status_reply;
    std::uint64_t query{0};
    std::vector<report> replicas;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(query, replicas);
    }
};

/*! @brief Datagram between gossip neighbours. */
struct heartbeat
{
    static constexpr auto type = frame_type::heartbeat;
    std::string instance;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::uint64_t revision{0};
    bool leaving{false};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(instance, incarnation, sequence, revision, leaving);
    }
};

/*! @brief Datagram between gossip neighbours: requests that crash upstreams. */
struct crash_news
{
    static constexpr auto type = frame_type::crash_news;
    std::vector<crash_record> records;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(records);
    }
};

/*! @brief To an entry that keeps a claim: note it, or tell whether there is
 * one. */
struct claim_note
{
    static constexpr auto type = frame_type::claim_note;
    std::uint64_t number{0}; /*!< Of the question. */
    digest request;          /*!< Of the request's id. */
    std::string claimant;    /*!< One session; empty to ask only. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, request, claimant);
    }
};

/*! @brief From an entry that keeps claims. */
struct claim_answer
{
    static constexpr auto type = frame_type::claim_answer;
    std::uint64_t number{0};
    bool taken{false}; /*!< Another process has claimed the request. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, taken);
    }
};

} // namespace message

} // namespace coursejunction

#endif
