/*! @file
 * @brief Counts recent complete responses by request content; pure.
 *
 * Where a caller sends the same request many times a second, copies of it run
 * on most upstreams. Whatever crashes some of these also hits copies of it, and
 * only the responses of the others show that it is a bystander.
 */
#ifndef COURSEJUNCTION_RUN_RECENT_RESPONSES_HPP
#define COURSEJUNCTION_RUN_RECENT_RESPONSES_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Complete responses within a sliding window. */
class recent_responses
{
public:
    /*! @brief Length of the window. A request that begins to crash upstreams,
     * for example with new weights, counts as a bystander for at most this
     * long. */
    static constexpr milliseconds retention{10'000};

    /*! @brief Responses kept, 100 bytes each; the oldest are dropped first. An
     * entry gets some 400 in ten seconds. */
    static constexpr std::size_t capacity = 1024;

    /*! @brief Records a complete response. */
    void record(const request_content& content, time_point now)
    {
        ++counts[content];
        responses.emplace_back(now, content);
        while (responses.size() > capacity ||
               now - responses.front().first >= retention)
            drop_oldest();
    }

    /*! @brief Returns how many responses of a content are in the window. */
    [[nodiscard]] std::size_t count(const request_content& content,
                                    time_point now)
    {
        while (!responses.empty() && now - responses.front().first >= retention)
            drop_oldest();
        const auto found = counts.find(content);
        return found == counts.end() ? 0 : found->second;
    }

    /*! @brief Removes some responses of a content, the oldest first: each
     * may outweigh a crash only once. */
    void consume(const request_content& content, std::size_t count)
    {
        std::size_t remaining = count;
        std::erase_if(responses,
                      [&](const auto& response)
                      {
                          if (remaining == 0 || response.second != content)
                              return false;
                          --remaining;
                          uncount(content);
                          return true;
                      });
    }

private:
    void uncount(const request_content& content)
    {
        const auto found = counts.find(content);
        if (--found->second == 0)
            counts.erase(found);
    }

    void drop_oldest()
    {
        uncount(responses.front().second);
        responses.pop_front();
    }

    std::deque<std::pair<time_point, request_content>> responses;
    std::map<request_content, std::size_t> counts;
};

} // namespace coursejunction

#endif
