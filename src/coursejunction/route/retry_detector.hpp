/*! @file
 * @brief Tells how long ago a caller first tried; pure.
 *
 * Load pattern: callers that were refused come back with what is left of
 * their deadline. Their target counts from the first try, so an entry that
 * takes them for new gives places away that new callers would use in time.
 */
#ifndef COURSEJUNCTION_ROUTE_RETRY_DETECTOR_HPP
#define COURSEJUNCTION_ROUTE_RETRY_DETECTOR_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/deadline_floor.hpp"
#include "coursejunction/route/recent_refusals.hpp"

namespace coursejunction
{

/*! @brief What tells that a caller comes back. */
enum class retry_evidence : std::uint8_t
{
    none,    /*!< Nothing: it counts as new. */
    refusal, /*!< The refusal that it comes back from. */
    deadline /*!< Its deadline, which is shorter than any new caller's. */
};

/*! @brief Returns the name of an evidence for logs and metrics. */
[[nodiscard]] constexpr std::string_view evidence_name(retry_evidence what)
{
    switch (what)
    {
    case retry_evidence::none:
        return "none";
    case retry_evidence::refusal:
        return "refusal";
    case retry_evidence::deadline:
        return "deadline";
    }
    return "unknown";
}

/*! @brief What is known of a caller's earlier tries. */
struct caller_history
{
    retry_evidence known_by{retry_evidence::none};
    milliseconds waited{0}; /*!< Since its first try, at least. */
};

/*! @brief Knows callers again: by the refusal that they come back from, and
 * where none is known by the deadlines of their route. */
class retry_detector
{
public:
    /*! @brief Notes a request's arrival.
     * @param deadline What its caller will wait from now on. */
    caller_history record_arrival(const std::string& route,
                                  request_fingerprint what,
                                  const std::optional<milliseconds>& deadline,
                                  time_point now)
    {
        std::optional<time_point> ends;
        if (deadline)
            ends = now + *deadline;
        if (const auto first = refusals.match_retry(what, ends, now))
            return {retry_evidence::refusal,
                    std::chrono::duration_cast<milliseconds>(now - *first)};
        if (!deadline)
            return {};
        const bool calm = now - last_refusal >= calm_time;
        const auto waited = floors[route].observe(*deadline, calm, now);
        if (waited == milliseconds(0))
            return {};
        return {retry_evidence::deadline, waited};
    }

    /*! @brief Remembers a refusal of this entry. */
    void record_refusal(const refusal_record& one, time_point now)
    {
        last_refusal = now;
        refusals.record(one);
    }

    /*! @brief Takes in a refusal of another entry. */
    void record_remote_refusal(const refusal_record& one, time_point now)
    {
        last_refusal = now;
        refusals.record_remote(one);
    }

    /*! @brief Notes that entries refuse callers, whoever they are. */
    void note_other_entries_refusals(time_point now) { last_refusal = now; }

    /*! @brief Returns refusals that the other entries have not been told, and
     * takes them for told. */
    [[nodiscard]] std::vector<refusal_record> take_unsent(std::size_t count)
    {
        return refusals.take_unsent(count);
    }

    /*! @brief Tells whether some have not been told. */
    [[nodiscard]] bool has_unsent() const { return refusals.has_unsent(); }

    /*! @brief Forgets callers that have left. */
    void expire(time_point now) { refusals.expire(now); }

    /*! @brief Forgets routes for which a predicate of their name is false. */
    template <typename Predicate>
    void retain_routes(Predicate wanted)
    {
        std::erase_if(floors,
                      [&](const auto& one) { return !wanted(one.first); });
    }

private:
    /*! @brief So long after the last refusal its callers have come back or
     * left: they heed up to a third of what is left of their deadline. */
    static constexpr milliseconds calm_time{5000};

    std::map<std::string, deadline_floor> floors;
    recent_refusals refusals;
    time_point last_refusal{};
};

} // namespace coursejunction

#endif
