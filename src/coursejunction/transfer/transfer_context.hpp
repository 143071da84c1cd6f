/*! @file
 * @brief Gives a transfer access to its instance and its peers.
 */
#ifndef COURSEJUNCTION_TRANSFER_TRANSFER_CONTEXT_HPP
#define COURSEJUNCTION_TRANSFER_TRANSFER_CONTEXT_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/transfer/call_window.hpp"
#include "coursejunction/transfer/paced_uploads.hpp"
#include "coursejunction/transfer/source_policy.hpp"

namespace coursejunction
{

/*! @brief Queried at each use, since all values change while a transfer
 * runs. */
struct transfer_context
{
    /*! @brief Returns an empty address if no origin is configured. */
    std::function<std::string()> origin_address;
    std::function<byte_rate()> origin_rate; /*!< Zero if unknown. */
    std::function<std::vector<participant>()> participants;
    std::function<std::string(const instance_id&)> peer_endpoint;
    paced_uploads* uploads{nullptr}; /*!< Shared by all transfers. */
    /*! @brief Limit of concurrent downloads over the own link, shared by all
     * versions. */
    std::shared_ptr<call_window> download_window;
    /*! @brief Called when a chunk is about to be written to the staging area of
     * the upstream, and when that call has ended. */
    std::function<void()> staging_written;
};

} // namespace coursejunction

#endif
