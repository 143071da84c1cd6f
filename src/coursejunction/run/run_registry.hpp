/*! @file
 * @brief The place where it is decided, once, whether a request starts.
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

/*! @brief Whether a request may start at this side. */
enum class start_decision : std::uint8_t
{
    start,             /*!< It may start now. */
    claim_pending,     /*!< The same request is being claimed. */
    running,           /*!< The same request runs. */
    finished,          /*!< The same request ran; its answer may be kept. */
    claimed_elsewhere, /*!< Another side holds the claim. */
    forbidden          /*!< It was promised that it will never start here. */
};

/*! @brief Answer of a request that ran, kept for a caller who asks again. */
struct cached_response
{
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
};

/*! @brief Requests that may run only once, by id, in the memory of one side.
 * Every change is one step on one thread, so "started" and "will never start"
 * exclude each other. It forgets when its process ends; the claim in the
 * key-value service does not. */
class run_registry
{
public:
    using size_type = std::size_t;

    explicit run_registry(size_type most) : limit(most) {}

    /*! @brief Asks whether a request may start, and if so begins to claim
     * it. */
    [[nodiscard]] start_decision begin_claim(const request_id& id)
    {
        const auto found = records.find(id);
        if (found == records.end())
        {
            remember(id);
            return start_decision::start;
        }
        switch (found->second.now)
        {
        case state::claiming:
            return start_decision::claim_pending;
        case state::running:
            return start_decision::running;
        case state::ended:
            return start_decision::finished;
        case state::elsewhere:
            return start_decision::claimed_elsewhere;
        case state::never:
            return start_decision::forbidden;
        case state::withdrawn:
            found->second.now = state::claiming;
            return start_decision::start;
        }
        return start_decision::forbidden;
    }

    /*! @brief The claim was won: the request starts now.
     * @return False when it was promised meanwhile that it will not. */
    [[nodiscard]] bool start_claimed(const request_id& id)
    {
        auto& one = records.at(id);
        if (one.now != state::claiming)
            return false;
        one.now = state::running;
        return true;
    }

    /*! @brief The claim was lost for good: another side has it. */
    void claim_lost(const request_id& id)
    {
        records.at(id).now = state::elsewhere;
    }

    /*! @brief It is not known who holds the claim. It did not start here; a
     * later try may claim again. */
    void release_claim(const request_id& id)
    {
        auto& one = records.at(id);
        COURSEJUNCTION_ASSERT(one.now == state::claiming ||
                                  one.now == state::never,
                              "only a claim can be withdrawn");
        if (one.now == state::claiming)
            one.now = state::withdrawn;
    }

    /*! @brief The upstream was never reached, which is proved: a later try
     * may start it. */
    void upstream_unreached(const request_id& id)
    {
        records.at(id).now = state::withdrawn;
    }

    /*! @brief Promises that a request that has not started never will.
     * @return False when it has started. */
    [[nodiscard]] bool forbid(const request_id& id)
    {
        const auto found = records.find(id);
        if (found == records.end())
        {
            remember(id);
            records.at(id).now = state::never;
            return true;
        }
        if (found->second.now == state::running ||
            found->second.now == state::ended)
            return false;
        found->second.now = state::never;
        return true;
    }

    /*! @brief The request has ended; its answer is kept when it is whole. */
    void finish(const request_id& id, cached_response answer)
    {
        auto& one = records.at(id);
        one.now = state::ended;
        one.answer = std::move(answer);
    }

    /*! @brief Returns the kept answer of a request that ended, or null. */
    [[nodiscard]] const cached_response*
    find_response(const request_id& id) const
    {
        const auto found = records.find(id);
        if (found == records.end() || found->second.now != state::ended ||
            found->second.answer.status == 0)
            return nullptr;
        return &found->second.answer;
    }

    [[nodiscard]] size_type size() const { return records.size(); }

private:
    enum class state : std::uint8_t
    {
        claiming,
        running,
        ended,
        elsewhere,
        never,
        withdrawn
    };

    struct record
    {
        state now{state::claiming};
        cached_response answer;
    };

    void remember(const request_id& id)
    {
        records.emplace(id, record{});
        order.push_back(id);
        // The claim in the key-value service outlives what is dropped here.
        while (order.size() > limit)
        {
            const auto oldest = records.find(order.front());
            if (oldest != records.end() &&
                (oldest->second.now == state::running ||
                 oldest->second.now == state::claiming))
                break;
            records.erase(order.front());
            order.pop_front();
        }
    }

    size_type limit;
    std::unordered_map<request_id, record> records;
    std::deque<request_id> order;
};

} // namespace coursejunction

#endif
