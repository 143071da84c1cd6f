/*! @file
 * @brief Runs requests from entries at the local upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_RUN_SERVICE_HPP
#define COURSEJUNCTION_DAEMON_RUN_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;
class upstream_client;

/*! @brief Access of the run service to the state of the replica. */
struct replica_callbacks
{
    /*! @brief Returns whether the upstream accepts new requests. */
    std::function<bool()> accepts_requests;

    /*! @brief Returns the maximum number of concurrent runs. */
    std::function<std::size_t()> slots;

    /*! @brief Returns the hash of the weights that responses must carry; empty
     * for a plain service. */
    std::function<digest()> serving_version;

    /*! @brief Called when the state of the upstream must be read again: it
     * could not be reached, failed a run, or answered with other weights. */
    std::function<void()> invalidate;

    /*! @brief Called with the time to the first token of each engine run. */
    std::function<void(std::chrono::microseconds)> record_first_token;
};

/*! @brief Starts, streams and cancels runs. It also makes the only decision on
 * whether a not-repeatable request starts, after claiming its id. */
class run_service
{
public:
    run_service(node& owner, upstream_client& upstream,
                replica_callbacks replica);
    ~run_service();

    /*! @brief Handles a frame that dispatches or cancels a run, or that belongs
     * to a claim.
     * @return Whether the frame was of one of these types. */
    bool handle_frame(const instance_id& from, frame& received);

    /*! @brief Cancels the runs of an entry whose connection is lost;
     * not-repeatable requests that have started run to their end. */
    void peer_lost(const instance_id& peer);

    /*! @brief Returns the number of runs in progress. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
