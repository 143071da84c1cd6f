/*! @file
 * @brief Finds out how long ago a client first sent a request; pure.
 * Load pattern: refused clients retry with the rest of their deadline. Their
 * target counts from the first request, so an entry that takes them for new
 * ones gives them slots in which requests of new clients would meet their
 * target.
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

/*! @brief What shows that a request is a client retry. */
enum class retry_evidence : std::uint8_t
{
    none,    /*!< Nothing: it counts as new. */
    refusal, /*!< It matches a refused request. */
    deadline /*!< Its deadline is shorter than any new client's. */
};

/*! @brief Returns the name of an evidence in logs and metrics. */
[[nodiscard]] constexpr std::string_view evidence_name(retry_evidence evidence)
{
    switch (evidence)
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

/*! @brief What is known of a client's earlier requests. */
struct client_history
{
    retry_evidence known_by{retry_evidence::none};
    milliseconds waited{0}; /*!< Since its first request, at least. */
};

/*! @brief Recognises client retries: by the refusal that they follow or, where
 * none is known, by the deadlines usual on their route. */
class retry_detector
{
public:
    /*! @brief Records the arrival of a request.
     * @param deadline How long the client waits from now on. */
    client_history record_arrival(const std::string& route,
                                  request_fingerprint fingerprint,
                                  const std::optional<milliseconds>& deadline,
                                  time_point now)
    {
        std::optional<time_point> ends;
        if (deadline)
            ends = now + *deadline;
        if (const auto first = refusals.match_retry(fingerprint, ends, now))
            return {retry_evidence::refusal,
                    std::chrono::duration_cast<milliseconds>(now - *first)};
        if (!deadline)
            return {};
        const bool no_recent_refusals = now - last_refusal >= retry_horizon;
        const auto waited =
            deadline_floors[route].observe(*deadline, no_recent_refusals, now);
        if (waited == milliseconds(0))
            return {};
        return {retry_evidence::deadline, waited};
    }

    /*! @brief Records a refusal of this entry. */
    void record_refusal(const refusal_record& refusal, time_point now)
    {
        last_refusal = now;
        refusals.record(refusal);
    }

    /*! @brief Records a refusal that another entry reported. */
    void record_remote_refusal(const refusal_record& refusal, time_point now)
    {
        last_refusal = now;
        refusals.record_remote(refusal);
    }

    /*! @brief Records that other entries refuse clients at present, according
     * to their rates; which clients is not known. */
    void note_other_entries_refusals(time_point now) { last_refusal = now; }

    /*! @brief Returns refusals not yet sent to the other entries, and marks
     * them as sent. */
    [[nodiscard]] std::vector<refusal_record> take_unsent(std::size_t count)
    {
        return refusals.take_unsent(count);
    }

    /*! @brief Returns whether there are refusals not yet sent to the other
     * entries. */
    [[nodiscard]] bool has_unsent() const { return refusals.has_unsent(); }

    /*! @brief Drops refusals whose clients have left. */
    void expire(time_point now) { refusals.expire(now); }

    /*! @brief Drops routes for which a predicate of their name is false. */
    template <typename Predicate>
    void retain_routes(Predicate wanted)
    {
        std::erase_if(deadline_floors,
                      [&](const auto& item) { return !wanted(item.first); });
    }

private:
    /*! @brief This long after the last refusal, refused clients have retried or
     * left: they wait at most a third of what is left of their deadline. */
    static constexpr milliseconds retry_horizon{5000};

    std::map<std::string, deadline_floor> deadline_floors;
    recent_refusals refusals;
    time_point last_refusal{};
};

} // namespace coursejunction

#endif
