/*! @file
 * @brief What a transfer needs to know of its instance and its peers.
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

/*! @brief Looked up at each use: all of it changes while a transfer runs. */
struct transfer_context
{
    std::function<std::string()> origin_address; /*!< Address; empty if none. */
    std::function<byte_rate()> origin_rate; /*!< Zero if it is not known. */
    std::function<std::vector<participant>()> participants;
    std::function<std::string(const instance_id&)> peer_endpoint;
    paced_uploads* uploads{nullptr}; /*!< Shared by all transfers. */
    /*! @brief What may be on its way over the own link, for all versions. */
    std::shared_ptr<call_window> download_window;
};

} // namespace coursejunction

#endif
