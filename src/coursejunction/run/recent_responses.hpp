/*! @file
 * @brief Counts how often a content was answered lately; pure.
 *
 * Load pattern: one caller asks the same thing many times a second, so that its
 * copies are with most upstreams. Whatever ends some of these then ends copies
 * of it, and only the answers of all the others tell that it is a bystander.
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

/*! @brief Whole answers of the last while, by content. */
class recent_responses
{
public:
    /*! @brief Answers count for so long: a content that begins to end its
     * upstreams, as with new weights, is taken for a bystander no longer. */
    static constexpr milliseconds retention{10'000};

    /*! @brief Answers kept, 100 bytes each; the oldest go first. An entry of
     * the installations gives some 400 in ten seconds. */
    static constexpr std::size_t capacity = 1024;

    /*! @brief A request was answered in whole. */
    void record(const request_content& what, time_point now)
    {
        ++counts[what];
        answers.emplace_back(now, what);
        while (answers.size() > capacity ||
               now - answers.front().first >= retention)
            drop_oldest();
    }

    /*! @brief Returns how many answers there were. */
    [[nodiscard]] std::size_t count(const request_content& what, time_point now)
    {
        while (!answers.empty() && now - answers.front().first >= retention)
            drop_oldest();
        const auto found = counts.find(what);
        return found == counts.end() ? 0 : found->second;
    }

    /*! @brief Takes some answers away, the oldest first: they have spoken for
     * the request once. */
    void consume(const request_content& what, std::size_t count)
    {
        std::size_t left = count;
        std::erase_if(answers,
                      [&](const auto& one)
                      {
                          if (left == 0 || one.second != what)
                              return false;
                          --left;
                          uncount(what);
                          return true;
                      });
    }

private:
    void uncount(const request_content& what)
    {
        const auto found = counts.find(what);
        if (--found->second == 0)
            counts.erase(found);
    }

    void drop_oldest()
    {
        uncount(answers.front().second);
        answers.pop_front();
    }

    std::deque<std::pair<time_point, request_content>> answers;
    std::map<request_content, std::size_t> counts;
};

} // namespace coursejunction

#endif
