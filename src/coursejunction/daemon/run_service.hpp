/*! @file
 * @brief Runs requests at the upstream on behalf of entries.
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

/*! @brief What the runs need to know of the replica. */
struct run_gate
{
    /*! @brief Tells whether new requests may run at the upstream. */
    std::function<bool()> open;

    /*! @brief Returns how many requests may run at once. */
    std::function<std::size_t()> slots;

    /*! @brief Returns the hash that answers must carry; empty for a plain
     * service. */
    std::function<digest()> weights;

    /*! @brief Called when an answer carried other weights. */
    std::function<void()> doubt;

    /*! @brief Called with the time to a first token. */
    std::function<void(std::chrono::microseconds)> first_token;
};

/*! @brief Starts, streams, cancels and accounts for runs. Here it is decided,
 * once, whether a request that may run only once starts. */
class run_service
{
public:
    run_service(node& owner, upstream_client& upstream, run_gate gate);
    ~run_service();

    /*! @brief Takes a frame of a run.
     * @return Whether it was one. */
    bool received(const instance_id& from, frame& one);

    /*! @brief Notes that an entry's connection is gone: what may be repeated
     * is cancelled, what may not runs to its end. */
    void peer_lost(const instance_id& peer);

    /*! @brief Returns how many runs are in progress. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
