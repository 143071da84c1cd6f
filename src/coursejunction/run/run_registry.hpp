/*! @file
 * @brief Decides whether a request that may run only once may start at this
 * sidecar.
 */
#ifndef COURSEJUNCTION_RUN_RUN_REGISTRY_HPP
#define COURSEJUNCTION_RUN_RUN_REGISTRY_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "coursejunction/core/assert.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Whether a request may start at this sidecar, or why not. */
enum class start_decision : std::uint8_t
{
    start,             /*!< It may start once its claim is won. */
    claim_pending,     /*!< The same request is being claimed. */
    running,           /*!< The same request runs. */
    finished,          /*!< The same request ran; see `find_response`. */
    claimed_elsewhere, /*!< Another sidecar holds the claim. */
    forbidden          /*!< `forbid` promised that it never starts here. */
};

/*! @brief Response of a request that ran, for a caller that repeats it. A
 * status of 0 means an incomplete response. */
struct cached_response
{
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
};

/*! @brief State of the requests that may run only once, by id, in the memory of
 * one sidecar. All calls come on one thread, so that a request can't be both
 * started and forbidden. The state is lost when the process ends, but the claim
 * in the key-value service remains. */
class run_registry
{
public:
    using size_type = std::size_t;

    /*! @param max_records Records kept; more while the oldest one is running or
     * being claimed. */
    explicit run_registry(size_type max_records) : capacity(max_records) {}

    /*! @brief Decides whether a request may start. If so, the caller must claim
     * it and report the outcome by `start_claimed`, `claim_lost` or
     * `release_claim`. */
    [[nodiscard]] start_decision begin_claim(const request_id& id)
    {
        const auto found = records.find(id);
        if (found == records.end())
        {
            add_record(id);
            return start_decision::start;
        }
        switch (found->second.state)
        {
        case run_state::claiming:
            return start_decision::claim_pending;
        case run_state::running:
            return start_decision::running;
        case run_state::finished:
            return start_decision::finished;
        case run_state::claimed_elsewhere:
            return start_decision::claimed_elsewhere;
        case run_state::forbidden:
            return start_decision::forbidden;
        case run_state::released:
            found->second.state = run_state::claiming;
            return start_decision::start;
        }
        return start_decision::forbidden;
    }

    /*! @brief Starts a request whose claim was won.
     * @return False if it was forbidden meanwhile. */
    [[nodiscard]] bool start_claimed(const request_id& id)
    {
        auto& found = records.at(id);
        if (found.state != run_state::claiming)
            return false;
        found.state = run_state::running;
        return true;
    }

    /*! @brief Notes that another sidecar holds the claim. */
    void claim_lost(const request_id& id)
    {
        records.at(id).state = run_state::claimed_elsewhere;
    }

    /*! @brief Notes that the owner of the claim is unknown. The request has not
     * started here, and a later attempt may claim it again. */
    void release_claim(const request_id& id)
    {
        auto& found = records.at(id);
        COURSEJUNCTION_ASSERT(
            found.state == run_state::claiming ||
                found.state == run_state::forbidden,
            "only a pending or forbidden claim can be released");
        if (found.state == run_state::claiming)
            found.state = run_state::released;
    }

    /*! @brief Notes that the request provably never reached the upstream, so
     * that a later attempt may start it. */
    void upstream_unreached(const request_id& id)
    {
        records.at(id).state = run_state::released;
    }

    /*! @brief Ensures that a request never starts here.
     * @return False if it has started already. */
    [[nodiscard]] bool forbid(const request_id& id)
    {
        const auto found = records.find(id);
        if (found == records.end())
        {
            add_record(id);
            records.at(id).state = run_state::forbidden;
            return true;
        }
        if (found->second.state == run_state::running ||
            found->second.state == run_state::finished)
            return false;
        found->second.state = run_state::forbidden;
        return true;
    }

    /*! @brief Notes that a request has finished.
     * @param response Kept for repeated requests; empty if incomplete. */
    void finish(const request_id& id, cached_response response)
    {
        auto& found = records.at(id);
        found.state = run_state::finished;
        found.response = std::move(response);
    }

    /*! @brief Returns the complete response of a finished request, or null. */
    [[nodiscard]] const cached_response*
    find_response(const request_id& id) const
    {
        const auto found = records.find(id);
        if (found == records.end() ||
            found->second.state != run_state::finished ||
            found->second.response.status == 0)
            return nullptr;
        return &found->second.response;
    }

    [[nodiscard]] size_type size() const { return records.size(); }

private:
    enum class run_state : std::uint8_t
    {
        claiming,
        running,
        finished,
        claimed_elsewhere,
        forbidden,
        released
    };

    struct record
    {
        run_state state{run_state::claiming};
        cached_response response;
    };

    void add_record(const request_id& id)
    {
        records.emplace(id, record{});
        oldest_first.push_back(id);
        // Dropping a record is safe: the claim in the key-value service
        // remains.
        while (oldest_first.size() > capacity)
        {
            const auto oldest = records.find(oldest_first.front());
            if (oldest != records.end() &&
                (oldest->second.state == run_state::running ||
                 oldest->second.state == run_state::claiming))
                break;
            records.erase(oldest_first.front());
            oldest_first.pop_front();
        }
    }

    size_type capacity;
    std::unordered_map<request_id, record> records;
    std::deque<request_id> oldest_first;
};

} // namespace coursejunction

#endif
