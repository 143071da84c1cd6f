/*! @file
 * @brief The entry process: callers' and operators' way in.
 */
#ifndef COURSEJUNCTION_DAEMON_ENTRY_HPP
#define COURSEJUNCTION_DAEMON_ENTRY_HPP

#include <memory>

namespace coursejunction
{

class node;

/*! @brief Wires the services of an entry to its node. */
class entry
{
public:
    /*! @brief Starts the role on a node. */
    explicit entry(node& owner);
    ~entry();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
