/*! @file
 * @brief Carries out transfers: asks, sends, verifies, hands over.
 */
#ifndef COURSEJUNCTION_DAEMON_TRANSFER_SERVICE_HPP
#define COURSEJUNCTION_DAEMON_TRANSFER_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/daemon/chunk_uploader.hpp"
#include "coursejunction/resource/deployment.hpp"
#include "coursejunction/transfer/source_policy.hpp"
#include "coursejunction/wire/frame.hpp"

namespace coursejunction
{

class node;
class upstream_client;

/*! @brief Bytes moved since the process started. */
struct transfer_counters
{
    std::uint64_t origin_bytes{0};
    std::uint64_t weight_store_bytes{0};
    std::uint64_t peer_bytes{0};
    std::uint64_t cross_hall_bytes{0};
    std::uint64_t cross_region_bytes{0};
    std::uint64_t corrupt{0};
    std::uint64_t duplicate{0};
};

/*! @brief Progress of the wanted version. */
struct transfer_progress
{
    std::uint64_t done{0};
    std::uint64_t total{0};
    std::string reason;
};

/*! @brief Gets the wanted version whole into the engine's staging area, and
 * serves the versions it holds to others. */
class transfer_service
{
public:
    /*! @brief Called when a version is whole, verified and handed over. */
    using staged_callback = std::function<void(const digest&)>;

    transfer_service(node& owner, upstream_client& engine,
                     staged_callback staged, chunk_filter filter);
    ~transfer_service();

    /*! @brief Sets the wanted version; another one under way is stopped, its
     * chunks that both have in common are kept. */
    void want(const digest& version, rollout_objective weigh);

    /*! @brief Stops wanting anything; what is held is still served. */
    void want_nothing();

    /*! @brief Says which version the engine serves; others that are not
     * wanted are released. */
    void serving(const digest& version);

    /*! @brief Hands the wanted version over again, after the engine lost
     * it. */
    void hand_over_again();

    /*! @brief Sets who takes part in the wanted version's transfer. */
    void participants(std::vector<participant> all);

    /*! @brief Takes a frame of a transfer.
     * @return Whether it was one. */
    bool received(const instance_id& from, frame& one);

    /*! @brief Notes that a peer's connection is gone. */
    void peer_lost(const instance_id& peer);

    /*! @brief Moves on; called every few milliseconds. */
    void tick();

    /*! @brief Takes the time to a first token of a live request. */
    void first_token(std::chrono::microseconds took);

    /*! @brief Tells whether nothing is being sent. */
    [[nodiscard]] bool idle() const;

    [[nodiscard]] transfer_progress progress() const;
    [[nodiscard]] const transfer_counters& counters() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
