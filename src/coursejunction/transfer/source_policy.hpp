/*! @file
 * @brief Who fetches which chunk from whom first: four ways.
 */
#ifndef COURSEJUNCTION_TRANSFER_SOURCE_POLICY_HPP
#define COURSEJUNCTION_TRANSFER_SOURCE_POLICY_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/manifest.hpp"

namespace coursejunction
{

/*! @brief An instance that takes part in a transfer. */
struct participant
{
    instance_id id;
    hall_id hall;
    region_id region;

    friend bool operator==(const participant&, const participant&) = default;
};

/*! @brief Where a chunk is to come from. */
struct chunk_source
{
    enum class source_kind : std::uint8_t
    {
        none,  /*!< From whoever is seen to hold it. */
        peer,  /*!< From this peer, waiting until it holds it. */
        origin /*!< From the origin. */
    };

    source_kind kind{source_kind::none};
    instance_id peer;

    [[nodiscard]] static chunk_source from_origin()
    {
        return {source_kind::origin, {}};
    }
    [[nodiscard]] static chunk_source from_peer(instance_id id)
    {
        return {source_kind::peer, std::move(id)};
    }
};

/*! @brief Tells whether a participant is believed to be alive. */
using liveness = std::function<bool(const instance_id&)>;

/*! @brief Decides the first source of each chunk, the same in every process
 * that sees the same participants. Ranks that are not alive are passed over;
 * `level` rises, as a last resort, when live sources give nothing. */
template <typename Policy>
concept Source_policy = requires(Policy policy, const manifest& of,
                                 const std::vector<participant>& all,
                                 const instance_id& own, chunk_index chunk,
                                 const liveness& alive, std::size_t level)
{
    policy.assign(of, all, own);
    {
        policy.source(chunk, alive, level)
        } -> std::same_as<chunk_source>;
    {
        policy.watched()
        } -> std::same_as<std::vector<instance_id>>;
    {
        Policy::uses_possession
        } -> std::convertible_to<bool>;
};

/*! @brief First receipts by rendezvous hash, the rest from any holder.
 *
 * One instance fetches a chunk from the origin, one of each other region
 * fetches it from that one, one of each other hall from its region's, and
 * inside a hall everybody takes it from whoever holds it. */
class swarm_policy
{
public:
    static constexpr bool uses_possession = true;

    /*! @brief How many ranks may stand in, one after another. */
    static constexpr std::size_t max_ranks = 4;

    /*! @brief How many instances one watches at most. */
    static constexpr std::size_t max_watched = 24;

    /*! @param extra Portion of the chunks that a second instance fetches from
     * the origin as well: spends origin bytes to save time. */
    explicit swarm_policy(double extra = 0) : origin_extra(extra) {}

    void assign(const manifest& of, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness this one depends on. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    struct slot
    {
        std::vector<participant> all;
        std::vector<participant> region;
        std::vector<participant> hall;
        double fraction{0};
    };

    double origin_extra;
    participant self;
    std::vector<slot> slots;
};

/*! @brief Stripes: as many trees as their arity; every instance is inner in
 * one of them, so every uplink carries one model. */
class stripe_policy
{
public:
    static constexpr bool uses_possession = false;
    static constexpr std::size_t arity = 8;

    void assign(const manifest& of, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness this one depends on. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    std::vector<std::vector<instance_id>> trees;
    std::vector<std::size_t> places;
};

/*! @brief One chain through all instances, hall by hall. */
class chain_policy
{
public:
    static constexpr bool uses_possession = false;

    void assign(const manifest& of, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness this one depends on. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    std::vector<instance_id> order;
    std::size_t place{0};
};

/*! @brief Everybody fetches everything from the origin. */
class origin_policy
{
public:
    static constexpr bool uses_possession = false;

    void assign(const manifest&, const std::vector<participant>&,
                const instance_id&)
    {
    }
    [[nodiscard]] chunk_source source(chunk_index, const liveness&,
                                      std::size_t) const
    {
        return chunk_source::from_origin();
    }
    [[nodiscard]] std::vector<instance_id> watched() const { return {}; }
};

} // namespace coursejunction

#endif
