/*! @file
 * @brief Maps connections to the instances at their other ends; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_PEER_LINKS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_PEER_LINKS_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/member/member_table.hpp"
#include "coursejunction/net/peer_hub.hpp"

namespace coursejunction::internal
{

/*! @brief Keeps outgoing connections apart from incoming ones: two processes
 * may claim the same instance id, and only the listed address, which outgoing
 * connections use, says which of them is right. */
class peer_links
{
public:
    /*! @brief Adds a connection opened to an instance's listed address. */
    void add_outgoing(const instance_id& to, connection_id id,
                      const std::string& address);

    /*! @brief Adds a connection that an instance opened to this one. */
    void add_incoming(const instance_id& from, connection_id id);

    /*! @brief Removes a connection. */
    void remove(connection_id id);

    /*! @brief Returns the connection opened to an instance; empty for none. */
    [[nodiscard]] connection_id outgoing(const instance_id& to) const;

    /*! @brief Returns the connection that an instance opened to this one; empty
     * for none. */
    [[nodiscard]] connection_id incoming(const instance_id& from) const;

    /*! @brief Returns the instance at the other end: as listed for an outgoing
     * connection, as claimed by the peer for an incoming one. */
    [[nodiscard]] std::optional<instance_id> peer_of(connection_id at) const;

    /*! @brief Returns the instances with an outgoing connection to an address
     * that is no longer the listed one. */
    [[nodiscard]] std::vector<instance_id>
    relocated(const member_table& members) const;

private:
    struct outgoing_link
    {
        connection_id id;
        std::string address;
    };

    std::map<instance_id, outgoing_link> outgoing_links;
    std::map<instance_id, connection_id> incoming_links;
    std::map<connection_id, instance_id> by_connection;
};

} // namespace coursejunction::internal

#endif
