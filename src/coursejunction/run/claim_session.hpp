/*! @file
 * @brief The session of the key-value service that a sidecar's claims belong
 * to; pure.
 */
#ifndef COURSEJUNCTION_RUN_CLAIM_SESSION_HPP
#define COURSEJUNCTION_RUN_CLAIM_SESSION_HPP

#include <cstddef>
#include <string>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A session may acquire a key that it holds already, which resolves a
 * lost response. A sidecar must therefore replace its session before it forgets
 * which requests it claimed with it: otherwise a forgotten request could be
 * claimed again and run twice. */
class claim_session
{
public:
    using size_type = std::size_t;

    /*! @brief Claims are made with a session for this long. */
    static constexpr std::chrono::hours max_age{1};

    /*! @param max_claims Claims made with one session; must be fewer than the
     * requests that the sidecar remembers. */
    explicit claim_session(size_type max_claims) : claim_limit(max_claims) {}

    /*! @brief Replaces the session by a new one. */
    void open(std::string id, time_point now)
    {
        session_id = std::move(id);
        opened_at = now;
        claims = 0;
    }

    /*! @brief Notes that the service no longer knows a session. */
    void invalidate(const std::string& id)
    {
        if (session_id == id)
            session_id.clear();
    }

    /*! @brief Returns whether another claim may be made with the session. */
    [[nodiscard]] bool usable(time_point now) const
    {
        return !session_id.empty() && claims < claim_limit &&
               now - opened_at <= max_age;
    }

    /*! @brief Counts a claim.
     * @return The id of the session for it. */
    [[nodiscard]] std::string use_for_claim()
    {
        ++claims;
        return session_id;
    }

private:
    size_type claim_limit;
    size_type claims{0};
    std::string session_id;
    time_point opened_at{};
};

} // namespace coursejunction

#endif
