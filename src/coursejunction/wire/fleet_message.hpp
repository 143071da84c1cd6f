/*! @file
 * @brief Messages between the processes of one installation that share the
 * platform's store: datagrams and pages of the mirror.
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

/*! @brief What a side knows of its upstream, as of its last poll. */
struct upstream_status
{
    std::string model;
    std::uint64_t version{0};  /*!< Weights that are whole; 0 for none. */
    std::uint64_t side{0};     /*!< Incarnation of the side that tells it. */
    std::uint64_t sequence{0}; /*!< Rises with each status of a side. */
    std::uint64_t life{0};     /*!< Incarnation of the upstream; 0: not told. */
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint64_t memory_used{0};
    std::uint64_t memory_size{0};
    double pace{1};
    bool open{false};      /*!< Takes new requests. */
    bool reachable{false}; /*!< The upstream answered the last poll. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, side, sequence, life, running, waiting,
                memory_used, memory_size, pace, open, reachable);
    }
};

/*! @brief Chunks that a side can give to others. */
struct chunk_possession
{
    static constexpr std::size_t least_bytes = 20;
    std::string model;
    std::uint64_t version{0};
    std::uint32_t queue{0};          /*!< Uploads that wait. */
    std::vector<std::uint64_t> held; /*!< Bit n of word w: chunk 64 w + n. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, queue, held);
    }
};

/*! @brief A side's status as an entry of its hall passes it on: what
 * placement needs, in 42 bytes. */
struct relayed_status
{
    std::uint32_t address{0}; /*!< Of the side, IPv4. */
    std::uint16_t age_ms{0};  /*!< Since that entry heard it. */
    std::uint8_t model{0};    /*!< Place in the digest's list of models. */
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

/*! @brief What entries pass on of their hall. */
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

/*! @brief What an entry's callers ask of engines, requests a second. */
struct entry_load
{
    float arrived{0}; /*!< New ones, lately. */
    float refused{0}; /*!< New ones that were refused, lately. */
    float demand{0};  /*!< New ones, over some seconds. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(arrived, refused, demand);
    }
};

/*! @brief A caller that an entry sent away; times are ms from the sending. */
struct refused_caller
{
    /*! @brief Bytes on the wire; a run longer than the message is refused. */
    static constexpr std::size_t least_bytes = 20;
    std::uint64_t fingerprint{0};
    std::uint32_t waited_ms{0};    /*!< Since its first try. */
    std::uint32_t remaining_ms{0}; /*!< To its deadline; 0 when it told none. */
    std::uint32_t retry_in_ms{0};  /*!< Until it may come back. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, waited_ms, remaining_ms, retry_in_ms);
    }
};

/*! @brief What an entry was told by an upstream's answers, on which terms it
 * takes requests. */
struct upstream_terms
{
    /*! @brief Bytes on the wire; a run longer than the message is refused. */
    static constexpr std::size_t least_bytes = 21;
    std::string upstream;
    std::uint64_t life{0};   /*!< Incarnation of the upstream; 0: not told. */
    std::uint32_t age_ms{0}; /*!< Of the answer. */
    bool leaving{false};     /*!< It wants no new work. */
    /*! @brief Requests a second of all entries together; below 0 when the
     * upstream names no limit. */
    float per_second{-1};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, life, age_ms, leaving, per_second);
    }
};

/*! @brief A named version that the platform's store does not show. */
struct reported_version
{
    /*! @brief Bytes on the wire; a run longer than the message is refused. */
    static constexpr std::size_t least_bytes = 16;
    std::string model;
    std::uint64_t version{0};
    std::uint32_t age_ms{0}; /*!< Since its naming, at most. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, age_ms);
    }
};

/*! @brief Datagram between any two processes of an installation. */
struct fleet_heartbeat
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    store_position mirrored; /*!< The mirror is whole up to this. */
    /*! @brief Values of earlier eras of the store that stand. */
    std::uint32_t carried{0};
    std::string hall;
    bool entry{false};
    bool leaving{false};
    bool watching{false};       /*!< Hears of changes from the store itself. */
    bool fetching{false};       /*!< Reads the whole store, or what a peer of
                                   another hall knows, for its hall. */
    bool probing{false};        /*!< Asks the store for news, which moves few
                                   bytes, and had no answer yet. */
    bool store_returned{false}; /*!< An outage of the store ended just now. */
    /*! @brief Microseconds that a connection to the store takes from here; 0
     * when that is not known. */
    std::uint32_t store_distance{0};
    std::vector<std::uint32_t> entries;   /*!< Known entries, IPv4 addresses. */
    upstream_status upstream;             /*!< Of a side. */
    std::vector<chunk_possession> chunks; /*!< Of a side, by version. */
    entry_load load;                      /*!< Of an entry. */
    hall_digest digest; /*!< Of an entry, for entries of other halls. */
    std::vector<crash_record> crashes;      /*!< Of an entry. */
    std::vector<refused_caller> refusals;   /*!< Of an entry, new ones. */
    std::vector<upstream_terms> terms;      /*!< Of an entry, new ones. */
    std::vector<reported_version> versions; /*!< Of an entry; seldom any. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, sequence, mirrored, carried, hall, entry, leaving,
                watching, fetching, probing, store_returned, store_distance,
                entries);
        if (entry)
            archive(load, digest, crashes, refusals, terms, versions);
        else
            archive(upstream, chunks);
    }
};

/*! @brief One item of the store as mirrored. */
struct mirror_item
{
    std::string key;
    std::string payload;
    std::uint64_t revision{0};
    std::uint64_t age_ms{0}; /*!< Since some process first learnt it. */
    bool removed{false};
    /*! @brief The payload as `pack` makes it, which then goes over the wire in
     * its place; empty for a small one. */
    std::string packed;
    std::uint64_t plain_bytes{0}; /*!< Size of the payload that is packed. */
    std::uint64_t era{0};         /*!< Of the store, that counts revisions. */
    /*! @brief Of a removed key: the order of the last value. */
    item_order order{};
    /*! @brief The key is gone because the store came back without it. */
    bool lost{false};

    [[nodiscard]] store_position position() const { return {era, revision}; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, payload, revision, age_ms, removed, packed, plain_bytes,
                era, order, lost);
    }
};

/*! @brief All items of a mirror that changed after a revision. */
struct mirror_page
{
    store_position position; /*!< The sender's mirror is whole up to this. */
    /*! @brief Every key is told: a key that is not told is gone. */
    bool whole{false};
    std::uint32_t carried{0}; /*!< Values of earlier eras among them. */
    std::vector<mirror_item> items;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(position, whole, carried, items);
    }
};

} // namespace coursejunction::message

#endif
