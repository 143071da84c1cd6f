/*! @file
 * @brief How many chunks may be on their way to an instance at once; pure.
 */
#ifndef COURSEJUNCTION_TRANSFER_CALL_WINDOW_HPP
#define COURSEJUNCTION_TRANSFER_CALL_WINDOW_HPP

#include <algorithm>
#include <cstddef>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Closes when chunks take long and opens again when they come soon.
 *
 * What is on its way to an instance waits in front of its link together with
 * live requests. On a link that is ten times narrower than it should be, the
 * chunks that a whole link takes in half a second hold a request up for 4 s:
 * it then begins on weights whose time is over. */
class call_window
{
public:
    using size_type = std::size_t;

    /*! @param largest Chunks at once on a whole link.
     * @param slow A chunk that takes this long shows a narrow link; zero when
     * none does. */
    call_window(size_type largest, milliseconds slow)
        : most(std::max<size_type>(largest, 1)), slow_chunk(slow), open(most)
    {
    }

    /*! @brief Notes how long a peer's chunk took from its call. */
    void record_duration(std::chrono::microseconds time) noexcept
    {
        if (slow_chunk.count() == 0)
            return;
        if (time >= slow_chunk)
            open = std::max<size_type>(open / 2, 1);
        else if (time < slow_chunk / 2)
            open = std::min(open + 1, most);
    }

    /*! @brief Returns how many of some calls may be open now.
     * @param usual Their number on a whole link. */
    [[nodiscard]] size_type limit(size_type usual) const noexcept
    {
        return open == most ? usual : std::min(usual, open);
    }

private:
    size_type most;
    milliseconds slow_chunk;
    size_type open;
};

} // namespace coursejunction

#endif
