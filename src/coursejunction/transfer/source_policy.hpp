/*! @file
 * @brief Chooses the first source of each chunk: four policies.
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

/*! @brief The first source of a chunk for one instance. */
struct chunk_source
{
    enum class source_kind : std::uint8_t
    {
        none,  /*!< None: any peer that is known to hold it. */
        peer,  /*!< A peer, which sends it once it holds it. */
        origin /*!< The origin. */
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

/*! @brief Returns whether a participant is considered alive. */
using liveness = std::function<bool(const instance_id&)>;

/*! @brief Chooses the first source of each chunk, the same in every process
 * that sees the same participants. Ranks that are not alive are skipped;
 * `level` is the number of further ranks that may stand in when live sources
 * deliver nothing. With `uses_possession`, chunks are also requested from any
 * peer in the hall that is known to hold them. */
template <typename Policy>
concept Source_policy = requires(Policy policy, const manifest& content,
                                 const std::vector<participant>& all,
                                 const instance_id& own, chunk_index chunk,
                                 const liveness& alive, std::size_t level)
{
    policy.assign(content, all, own);
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

/*! @brief Distributes the first copies by rendezvous hash; the others come from
 * any holder.
 *
 * One instance fetches a chunk from the origin, one of each other region
 * fetches it from that one, one of each other hall from the one of its region,
 * and inside a hall all take it from any holder. */
class swarm_policy
{
public:
    static constexpr bool uses_possession = true;

    /*! @brief Ranks that are computed for each chunk: the first source and its
     * stand-ins. */
    static constexpr std::size_t max_ranks = 4;

    /*! @brief Maximum number of instances whose liveness one instance
     * tracks. */
    static constexpr std::size_t max_watched = 24;

    /*! @param extra_copies How many more instances fetch each chunk from the
     * origin, on average over all chunks. More copies cost origin bandwidth
     * and save time. */
    explicit swarm_policy(double extra_copies = 0)
        : extra_origin_copies(extra_copies)
    {
    }

    void assign(const manifest& content, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness to track. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    struct ranking
    {
        std::vector<participant> all;
        std::vector<participant> region;
        std::vector<participant> hall;
        double fraction{0};
    };

    double extra_origin_copies;
    participant self;
    std::vector<ranking> rankings;
};

/*! @brief Splits the chunks into `arity` stripes, each with its own tree. Every
 * instance is an inner node of one tree only, so every uplink carries one copy
 * of the model. */
class stripe_policy
{
public:
    static constexpr bool uses_possession = false;
    static constexpr std::size_t arity = 8;

    void assign(const manifest& content, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness to track. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    std::vector<std::vector<instance_id>> trees;
    std::vector<std::size_t> positions;
};

/*! @brief Passes every chunk along one chain through all instances, hall by
 * hall. */
class chain_policy
{
public:
    static constexpr bool uses_possession = false;

    void assign(const manifest& content, const std::vector<participant>& all,
                const instance_id& own);
    [[nodiscard]] chunk_source source(chunk_index chunk, const liveness& alive,
                                      std::size_t level) const;

    /*! @brief Returns the instances whose liveness to track. */
    [[nodiscard]] std::vector<instance_id> watched() const;

private:
    std::vector<instance_id> order;
    std::size_t position{0};
};

/*! @brief Lets every instance fetch every chunk from the origin. */
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
