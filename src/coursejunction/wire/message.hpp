/*! @file
 * @brief Messages between the processes of the system.
 *
 * Each struct is encoded as the head of a frame; bulk data is sent as the
 * payload of the frame and is not encoded. Members are encoded in their order;
 * a change to a struct requires a new `protocol_version`.
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

/*! @brief Result of an attempt to run a request. */
enum class outcome : std::uint8_t
{
    answered, /*!< The response is complete. */
    not_run,  /*!< It certainly did not run and never will in this attempt. */
    unknown   /*!< It may have run, or was interrupted while running. */
};

/*! @brief Returns the name that is sent to callers. */
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

/*! @brief Reason why an attempt was refused before it started. */
enum class refusal : std::uint8_t
{
    none,        /*!< It was not refused. */
    busy,        /*!< All slots of the upstream are in use. */
    closed,      /*!< The upstream accepts no requests for now, or
                      serves other weights. */
    leaving,     /*!< The sidecar accepts no new requests. */
    claim,       /*!< Unknown whether another process claimed it. */
    unreachable, /*!< Connecting to the upstream failed. */
    duplicate,   /*!< The same request was already started. */
    cancelled    /*!< The caller disconnected before the start. */
};

/*! @brief Returns a human-readable message. */
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

/*! @brief First frame in each direction of a connection; carries a nonce from
 * which the session keys are derived. */
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

/*! @brief From entry to sidecar: runs a request. Payload: the request body. */
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
    std::uint64_t seed{0};        /*!< Sampling seed, the same for all
                                     attempts of a request. */
    std::uint32_t resume_from{0}; /*!< Number of events that the caller
                                     has already received. */
    std::string weights;          /*!< Required weights; empty for any. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, attempt, request, organisation, model, path, priority,
                deadline_ms, not_repeatable, seed, resume_from, weights);
    }
};

/*! @brief From sidecar to entry: a part of a response. Payload: its bytes. */
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

/*! @brief From sidecar to entry: the attempt has ended. */
struct answer_end
{
    static constexpr auto type = frame_type::answer_end;
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    outcome result{outcome::unknown};
    refusal refused{refusal::none};
    std::uint16_t status{0}; /*!< HTTP status. */
    std::uint32_t parts{0};  /*!< Number of `answer_part` frames sent. */
    std::uint32_t retry_after_ms{0};
    std::uint32_t load{0}; /*!< Number of runs at the sidecar. */
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

/*! @brief From entry to sidecar: the caller has disconnected. */
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

/*! @brief From sidecar to entry: load and transfer progress. Sent to entries
 * that route to it, every second if the load changed, otherwise at a lower rate
 * as a heartbeat. */
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

/*! @brief From sidecar to entry: full state of a replica, sent on changes. */
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

/*! @brief From entry to sidecar: subscribes to reports. */
struct subscribe
{
    static constexpr auto type = frame_type::subscribe;
    bool routing{false}; /*!< The entry routes requests to this sidecar
                            and needs load reports. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(routing);
    }
};

/*! @brief Requests a configuration that is newer than a known revision. */
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

/*! @brief A full configuration. Payload: the document. */
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

/*! @brief Announces which chunks of a manifest the sender holds. */
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

/*! @brief Requests a chunk. */
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

/*! @brief Result of a chunk request. */
enum class chunk_status : std::uint8_t
{
    given,  /*!< The payload is the chunk. */
    busy,   /*!< The upload queue is full; ask another peer. */
    absent, /*!< The sender does not hold it. */
    foreign /*!< The sender does not transfer this manifest. */
};

/*! @brief Response to a chunk request. Payload: the chunk, if `given`. */
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

/*! @brief Requests a manifest by its hash. */
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

/*! @brief Response to a manifest request. Payload: the text of the manifest;
 * empty if the sender does not have it. */
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

/*! @brief From sidecar to entry: asks for permission to close the upstream in
 * order to load a version. */
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

/*! @brief From entry to sidecar: response to a permit request. */
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

/*! @brief Asks an entry for the replicas that it knows in its hall. */
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

/*! @brief Response to a status query: the reports of one hall. */
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

/*! @brief Heartbeat datagram between gossip neighbours. */
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

/*! @brief To an entry that is a voter for a claim: records the claim, or asks
 * whether there is one. */
struct claim_note
{
    static constexpr auto type = frame_type::claim_note;
    std::uint64_t number{0}; /*!< Identifies the query in its answer. */
    digest request;          /*!< Digest of the request id. */
    std::string claimant;    /*!< Session that claims; empty for a query. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(number, request, claimant);
    }
};

/*! @brief A voter's answer to a claim or query. */
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
