/*! @file
 * @brief Messages between the processes of one installation, which share the
 * platform's store: heartbeat datagrams and pages of the mirror of the store.
 * The order of members is their encoding.
 */
#ifndef COURSEJUNCTION_WIRE_FLEET_MESSAGE_HPP
#define COURSEJUNCTION_WIRE_FLEET_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coursejunction/core/item_order.hpp"
#include "coursejunction/core/store_position.hpp"
#include "coursejunction/wire/crash_record.hpp"

namespace coursejunction::message
{

/*! @brief State of an upstream, as its sidecar read it in its last poll. */
struct upstream_status
{
    std::string model;
    std::uint64_t version{0};  /*!< Completely loaded weights; 0: none. */
    std::uint64_t side{0};     /*!< Incarnation of the sidecar. */
    std::uint64_t sequence{0}; /*!< Increases with each status. */
    std::uint64_t life{0};     /*!< Incarnation of the upstream; 0: unknown. */
    std::uint32_t running{0};  /*!< Running requests. */
    std::uint32_t waiting{0};  /*!< Queued requests. */
    std::uint64_t memory_used{0}; /*!< KV cache in use. */
    std::uint64_t memory_size{0}; /*!< KV cache, in the same unit. */
    double pace{1};        /*!< Factor by which it is slower than profiled. */
    bool open{false};      /*!< The upstream accepts new requests. */
    bool reachable{false}; /*!< The upstream answered the last poll. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, side, sequence, life, running, waiting,
                memory_used, memory_size, pace, open, reachable);
    }
};

/*! @brief Chunks of a version that a sidecar can upload to others. */
struct chunk_possession
{
    static constexpr std::size_t least_bytes = 20;
    std::string model;
    std::uint64_t version{0};
    std::uint32_t queue{0};          /*!< Queued uploads. */
    std::vector<std::uint64_t> held; /*!< Bit n of word w: chunk 64 w + n. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, queue, held);
    }
};

/*! @brief A sidecar's status as an entry of its hall relays it: only what
 * routing needs, in 42 bytes. */
struct relayed_status
{
    std::uint32_t address{0}; /*!< IPv4 address of the sidecar. */
    std::uint16_t age_ms{0};  /*!< Since the entry received it. */
    std::uint8_t model{0};    /*!< Index into `hall_digest::models`. */
    std::uint8_t flags{0};    /*!< 1: open, 2: reachable. */
    std::uint32_t version{0};
    std::uint64_t side{0};
    std::uint32_t sequence{0};
    std::uint64_t life{0};
    std::uint16_t running{0};
    std::uint16_t waiting{0};
    float pace{1};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(address, age_ms, model, flags, version, side, sequence, life,
                running, waiting, pace);
    }
};

/*! @brief Statuses of the sidecars of a hall, which its entries relay to other
 * halls. */
struct hall_digest
{
    std::vector<std::string> models;
    std::vector<relayed_status> sides;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(models, sides);
    }
};

/*! @brief Rates of new requests at an entry, per second. */
struct entry_load
{
    float arrived{0}; /*!< Recent rate of new requests. */
    float refused{0}; /*!< Recent rate of refused new requests. */
    float demand{0};  /*!< Rate of new requests over several seconds. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(arrived, refused, demand);
    }
};

/*! @brief A refused request whose caller may send a client retry to another
 * entry. Times are milliseconds relative to when this message is sent. */
struct refused_caller
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 20;
    std::uint64_t fingerprint{0};
    std::uint32_t waited_ms{0};    /*!< Since its first attempt. */
    std::uint32_t remaining_ms{0}; /*!< Until its deadline; 0: none given. */
    std::uint32_t retry_in_ms{0};  /*!< Until the caller may retry. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, waited_ms, remaining_ms, retry_in_ms);
    }
};

/*! @brief Conditions under which an upstream accepts requests, as an entry read
 * them from its responses. */
struct upstream_terms
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 21;
    std::string upstream;
    std::uint64_t life{0};   /*!< Incarnation of the upstream; 0: unknown. */
    std::uint32_t age_ms{0}; /*!< Age of the response. */
    bool leaving{false};     /*!< The upstream accepts no new requests. */
    /*! @brief Limit on the requests per second of all entries together;
     * negative if the upstream states none. */
    float per_second{-1};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, life, age_ms, leaving, per_second);
    }
};

/*! @brief An upstream that accepts no new requests, according to a change of
 * the store. Entries report it to each other ahead of the mirror's pages. */
struct upstream_departure
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 21;
    std::string upstream;
    store_position position; /*!< Of the change. */
    bool removed{false}; /*!< Its record was removed; otherwise the record says
                            that it leaves. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, position, removed);
    }
};

/*! @brief The evacuation of a hall or its end, according to a change of the
 * store. Entries report it to each other ahead of the mirror's pages. */
struct hall_evacuation
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 21;
    std::string hall;
    store_position position; /*!< Of the change. */
    bool evacuated{false};   /*!< Otherwise the evacuation has ended. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(hall, position, evacuated);
    }
};

/*! @brief Rate of new requests of an organisation at an entry, or of refusals.
 */
struct organisation_rate
{
    /*! @brief Encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 6;
    std::uint32_t key{0}; /*!< Hash of the service and the organisation. */
    std::uint16_t per_second{0}; /*!< In units of 1/64. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, per_second);
    }
};

/*! @brief A list at the end of a message that older senders do not know. It is
 * not encoded if it is empty, and empty if it is missing. */
template <typename Element>
struct trailing_list
{
    std::vector<Element> items;
};

/*! @brief A published version that is not visible in the platform's store. */
struct reported_version
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 16;
    std::string model;
    std::uint64_t version{0};
    std::uint32_t age_ms{0}; /*!< Upper bound of the time since it
                                 was published. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, age_ms);
    }
};

/*! @brief Heartbeat datagram between any two processes of an installation. */
struct fleet_heartbeat
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    store_position mirrored; /*!< The mirror is complete up to this. */
    /*! @brief Number of mirrored values carried over from earlier eras. */
    std::uint32_t carried{0};
    std::string hall;
    bool entry{false};
    bool leaving{false};
    bool watching{false}; /*!< Receives changes from the store itself. */
    bool fetching{false}; /*!< Reads the whole store, or the mirror of a
                             peer in another hall, for its hall. */
    bool probing{false};  /*!< Has a small request for changes to the
                             store open, without a response so far. */
    /*! @brief How many more milliseconds missing records may come back after
     * an outage of the store; 0 if none ended recently. */
    std::uint32_t lapse_window_ms{0};
    /*! @brief Time in microseconds that connecting to the store takes from this
     * process; 0 if unknown. */
    std::uint32_t store_distance{0};
    std::vector<std::uint32_t> entries; /*!< IPv4 addresses of known entries. */
    upstream_status upstream;           /*!< Sidecars only. */
    std::vector<chunk_possession> chunks; /*!< Sidecars only; per version. */
    entry_load load;                      /*!< Entries only. */
    hall_digest digest;                /*!< Entries only; for entries of other
                                          halls. */
    std::vector<crash_record> crashes; /*!< Entries only. */
    std::vector<refused_caller> refusals;   /*!< Entries only; new ones. */
    std::vector<upstream_terms> terms;      /*!< Entries only; new ones. */
    std::vector<reported_version> versions; /*!< Entries only; usually empty. */
    std::vector<upstream_departure> departures; /*!< Entries only; new ones. */
    std::vector<hall_evacuation> evacuations;   /*!< Entries only. */
    /*! @brief Entries only; in some heartbeats. */
    trailing_list<organisation_rate> organisations;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, sequence, mirrored, carried, hall, entry, leaving,
                watching, fetching, probing, lapse_window_ms, store_distance,
                entries);
        if (entry)
            archive(load, digest, crashes, refusals, terms, versions,
                    departures, evacuations, organisations);
        else
            archive(upstream, chunks);
    }
};

/*! @brief One mirrored key of the store. */
struct mirror_item
{
    std::string key;
    std::string payload;
    std::uint64_t revision{0};
    std::uint64_t age_ms{0}; /*!< Since any process first received it. */
    bool removed{false};
    /*! @brief The payload compressed by `pack`, which is sent instead of it;
     * empty for a small payload. */
    std::string packed;
    std::uint64_t plain_bytes{0}; /*!< Size of the uncompressed payload. */
    std::uint64_t era{0}; /*!< Era of the store in which `revision` counts. */
    /*! @brief Order of the last value, if the key is removed. */
    item_order order{};
    /*! @brief The key is missing because of a rollback of the store. */
    bool lost{false};

    [[nodiscard]] store_position position() const { return {era, revision}; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, payload, revision, age_ms, removed, packed, plain_bytes,
                era, order, lost);
    }
};

/*! @brief What the sender of a page knows beside the items in it. */
struct page_extent
{
    /*! @brief Minimum encoded size; bounds the length of a list of these. */
    static constexpr std::size_t least_bytes = 20;
    /*! @brief The sender knows every removal after this position. */
    store_position removals_known_from;
    /*! @brief Of a whole page: keys whose values have not changed since the
     * requested position and are therefore not among its items. */
    std::vector<std::string> unchanged_keys;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(removals_known_from, unchanged_keys);
    }
};

/*! @brief All items of a mirror that changed after a requested position. */
struct mirror_page
{
    store_position position; /*!< The sender's mirror is complete up to this. */
    /*! @brief The page has all keys: a key that is not in it was removed. */
    bool whole{false};
    std::uint32_t carried{0}; /*!< Number of values carried over from
                                 earlier eras. */
    std::vector<mirror_item> items;
    /*! @brief At most one; only in pages for requesters that know it. */
    trailing_list<page_extent> extent;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(position, whole, carried, items, extent);
    }
};

} // namespace coursejunction::message

#endif
