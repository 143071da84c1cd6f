/*! @file
 * @brief The entry role: serves callers and operators over HTTP.
 */
#ifndef COURSEJUNCTION_DAEMON_ENTRY_HPP
#define COURSEJUNCTION_DAEMON_ENTRY_HPP

#include <memory>

namespace coursejunction
{

class node;

/*! @brief Runs the services of an entry on a node. */
class entry
{
public:
    /*! @brief Starts the role on a node, which must outlive it. */
    explicit entry(node& owner);
    ~entry();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
