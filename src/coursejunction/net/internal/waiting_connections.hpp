/*! @file
 * @brief Order in which a busy server turns to new connections; performs no
 * I/O. Load pattern: more clients connect than the process can handle. In order
 * of arrival each would be read when its client is about to give up, so the
 * newest goes first and the ones that have waited for too long are refused.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_WAITING_CONNECTIONS_HPP
#define COURSEJUNCTION_NET_INTERNAL_WAITING_CONNECTIONS_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief Accepted connections that are not read yet. */
template <typename Connection>
class waiting_connections
{
public:
    /*! @param since When the connection may have arrived at the earliest. */
    void push(Connection connection, time_point since)
    {
        all.push_back({std::move(connection), since});
    }

    /*! @brief Removes the newest connection. */
    [[nodiscard]] std::optional<Connection> take_newest()
    {
        if (all.empty())
            return std::nullopt;
        auto taken = std::move(all.back().connection);
        all.pop_back();
        return taken;
    }

    /*! @brief Removes the oldest connection if it arrived before a time. */
    [[nodiscard]] std::optional<Connection> take_older(time_point limit)
    {
        if (all.empty() || all.front().since >= limit)
            return std::nullopt;
        auto taken = std::move(all.front().connection);
        all.pop_front();
        return taken;
    }

    [[nodiscard]] std::size_t size() const { return all.size(); }

    void clear() { all.clear(); }

private:
    struct waiting
    {
        Connection connection;
        time_point since;
    };

    std::deque<waiting> all;
};

} // namespace coursejunction::internal

#endif
