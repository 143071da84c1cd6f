/*! @file
 * @brief Transfers versions: fetches, verifies, stages and serves chunks.
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

/*! @brief Bytes received and chunks discarded since the process started. */
struct transfer_counters
{
    std::uint64_t origin_bytes{0};
    std::uint64_t weight_store_bytes{0};
    std::uint64_t peer_bytes{0};
    std::uint64_t cross_hall_bytes{0};
    std::uint64_t cross_region_bytes{0};
    std::uint64_t corrupt_chunks{0};   /*!< A wrong manifest counts too. */
    std::uint64_t duplicate_chunks{0}; /*!< Received when already held. */
};

/*! @brief Progress of the wanted version. */
struct transfer_progress
{
    std::uint64_t bytes_done{0};
    std::uint64_t bytes_total{0};
    std::string reason; /*!< Last failure; empty when none. */
};

/*! @brief Fetches the wanted version, stages it at the engine, and serves held
 * versions to peers. */
class transfer_service
{
public:
    /*! @brief Called when all chunks of a version are verified and staged. */
    using staged_callback = std::function<void(const digest&)>;

    transfer_service(node& owner, upstream_client& engine,
                     staged_callback staged, chunk_filter filter);
    ~transfer_service();

    /*! @brief Sets the wanted version. The transfer of another version is
     * stopped; chunks that both have in common are kept. */
    void set_target(const digest& version, rollout_objective weigh);

    /*! @brief Stops the transfer, if any; held versions are still served to
     * peers. */
    void clear_target();

    /*! @brief Sets the version that the engine serves; held versions that are
     * neither served nor wanted are released. */
    void set_served_version(const digest& version);

    /*! @brief Stages the wanted version again, after the engine lost it. */
    void restage();

    /*! @brief Sets the instances that take part in the transfer of the wanted
     * version. */
    void set_participants(std::vector<participant> all);

    /*! @brief Handles a frame of a transfer.
     * @return Whether it was one. */
    bool handle_frame(const instance_id& from, frame& received);

    /*! @brief Forgets a peer whose connection is lost. */
    void peer_lost(const instance_id& peer);

    /*! @brief Requests missing chunks and continues staging; called every few
     * milliseconds. */
    void tick();

    /*! @brief Records the time to first token of a request: slow ones during a
     * transfer reduce the fraction of the uplink that uploads may use. */
    void record_first_token(std::chrono::microseconds took);

    /*! @brief Returns whether no upload is queued. */
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
