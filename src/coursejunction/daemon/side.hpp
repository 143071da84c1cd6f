/*! @file
 * @brief The side process: stands beside one upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_SIDE_HPP
#define COURSEJUNCTION_DAEMON_SIDE_HPP

#include <memory>

#include "coursejunction/daemon/transfer_service.hpp"

namespace coursejunction
{

class node;

/*! @brief Keeps one replica at what the configuration wants, and runs
 * requests at its upstream. */
class side
{
public:
    /*! @brief Starts the role on a node.
     * @param filter Changes chunks before they are sent; empty but in a
     * build that is faulty on purpose. */
    explicit side(node& owner, chunk_filter filter = {});
    ~side();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
