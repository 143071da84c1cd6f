/*! @file
 * @brief Limits the chunks that are being downloaded at the same time. Does no
 * I/O.
 */
#ifndef COURSEJUNCTION_TRANSFER_CALL_WINDOW_HPP
#define COURSEJUNCTION_TRANSFER_CALL_WINDOW_HPP

#include <algorithm>
#include <cstddef>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits concurrent chunk downloads: halves the limit when a chunk
 * takes long, and raises it by one when a chunk arrives soon.
 *
 * Chunks that are being downloaded queue in front of the link of the instance
 * together with live requests. On a link with a tenth of its usual rate, the
 * chunks that usually take half a second delay a request by 4 s: it then
 * begins on old weights after their grace time. */
class call_window
{
public:
    using size_type = std::size_t;

    /*! @param max_calls Concurrent chunks on a link with its full rate.
     * @param slow A chunk that takes this long indicates a narrow link; zero
     * disables the limit. */
    call_window(size_type max_calls, milliseconds slow)
        : largest(std::max<size_type>(max_calls, 1)), slow_chunk_time(slow),
          current(largest)
    {
    }

    /*! @brief Records how long a request for a chunk to a peer took. */
    void record_duration(std::chrono::microseconds duration) noexcept
    {
        if (slow_chunk_time.count() == 0)
            return;
        if (duration >= slow_chunk_time)
            current = std::max<size_type>(current / 2, 1);
        else if (duration < slow_chunk_time / 2)
            current = std::min(current + 1, largest);
    }

    /*! @brief Returns how many calls of one kind may be open now.
     * @param full_limit Their number on a link with its full rate. */
    [[nodiscard]] size_type limit(size_type full_limit) const noexcept
    {
        return current == largest ? full_limit : std::min(full_limit, current);
    }

private:
    size_type largest;
    milliseconds slow_chunk_time;
    size_type current;
};

} // namespace coursejunction

#endif
