/*! @file
 * @brief Declares the types of the transfer module.
 */
#ifndef COURSEJUNCTION_TRANSFER_FWD_HPP
#define COURSEJUNCTION_TRANSFER_FWD_HPP

#include <cstdint>

namespace coursejunction
{

class manifest;
class chunk_store;
class upload_queue;
class transfer_governor;
struct participant;
struct chunk_source;
class swarm_policy;
class stripe_policy;
class chain_policy;
class origin_policy;
class origin_fallback;
class origin_schedule;

/*! @brief Index of a chunk in its manifest. */
using chunk_index = std::uint32_t;

} // namespace coursejunction

#endif
