/*! @file
 * @brief The side role: the sidecar of one upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_SIDE_HPP
#define COURSEJUNCTION_DAEMON_SIDE_HPP

#include <memory>

#include "coursejunction/daemon/transfer_service.hpp"

namespace coursejunction
{

class node;

/*! @brief Brings one replica to the state that the configuration wants, and
 * runs requests at its upstream. */
class side
{
public:
    /*! @brief Starts the role on a node, which must outlive it.
     * @param filter Changes chunks before they are sent; only set by the build
     * that is faulty on purpose, for tests. */
    explicit side(node& owner, chunk_filter filter = {});
    ~side();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
