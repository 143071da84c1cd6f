#include "coursejunction/net/internal/socket_state.hpp"

#include <poll.h>

namespace coursejunction::internal
{

bool is_closed_by_peer(int file)
{
    pollfd state{file, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace coursejunction::internal
