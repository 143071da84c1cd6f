/*! @file
 * @brief Which connection leads to which instance; pure.
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

/*! @brief Keeps the connections that this instance opened apart from those
 * that others opened to it: two processes may claim one id, and only the
 * listed address says which of them counts. */
class peer_links
{
public:
    /*! @brief Notes a connection opened to an instance's listed address. */
    void add_outgoing(const instance_id& to, connection_id id,
                      const std::string& address);

    /*! @brief Notes a connection that an instance opened. */
    void add_incoming(const instance_id& from, connection_id id);

    /*! @brief Forgets a connection. */
    void remove(connection_id id);

    /*! @brief Returns the connection opened to an instance; empty for none. */
    [[nodiscard]] connection_id outgoing(const instance_id& to) const;

    /*! @brief Returns the connection that an instance opened; empty for
     * none. */
    [[nodiscard]] connection_id incoming(const instance_id& from) const;

    /*! @brief Returns who is at the other end, as far as is believed. */
    [[nodiscard]] std::optional<instance_id> peer_of(connection_id at) const;

    /*! @brief Returns dialled instances that are now listed elsewhere. */
    [[nodiscard]] std::vector<instance_id>
    relocated(const member_table& members) const;

private:
    struct dialled_link
    {
        connection_id id;
        std::string address;
    };

    std::map<instance_id, dialled_link> out;
    std::map<instance_id, connection_id> in;
    std::map<connection_id, instance_id> by_connection;
};

} // namespace coursejunction::internal

#endif
