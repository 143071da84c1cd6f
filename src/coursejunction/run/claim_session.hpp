/*! @file
 * @brief The session that a side's claims hang on; pure.
 */
#ifndef COURSEJUNCTION_RUN_CLAIM_SESSION_HPP
#define COURSEJUNCTION_RUN_CLAIM_SESSION_HPP

#include <cstddef>
#include <string>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A session may acquire what it holds again, which settles an answer
 * that was lost. So it is left before the side forgets what it claimed with
 * it. */
class claim_session
{
public:
    using size_type = std::size_t;

    /*! @brief A session is used so long. */
    static constexpr std::chrono::hours max_age{1};

    /*! @param most Claims that one session makes: fewer than the side
     * remembers requests. */
    explicit claim_session(size_type most) : limit(most) {}

    void open(std::string id, time_point now)
    {
        name = std::move(id);
        since = now;
        claims = 0;
    }

    /*! @brief The service lacks a session. */
    void invalidate(const std::string& id)
    {
        if (name == id)
            name.clear();
    }

    /*! @brief Tells whether another claim may hang on it. */
    [[nodiscard]] bool usable(time_point now) const
    {
        return !name.empty() && claims < limit && now - since <= max_age;
    }

    /*! @brief Returns the session for one claim. */
    [[nodiscard]] std::string use_for_claim()
    {
        ++claims;
        return name;
    }

private:
    size_type limit;
    size_type claims{0};
    std::string name;
    time_point since{};
};

} // namespace coursejunction

#endif
