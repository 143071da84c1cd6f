/*! @file
 * @brief Membership: the platform's instance list, which lags behind, corrected
 * by heartbeats and failed attempts.
 */
#ifndef COURSEJUNCTION_MEMBER_MEMBER_TABLE_HPP
#define COURSEJUNCTION_MEMBER_MEMBER_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/settings/node_settings.hpp"

namespace coursejunction
{

/*! @brief One instance as the platform's instance list gives it. */
struct member
{
    instance_id id;
    role kind{role::entry};
    hall_id hall;
    region_id region;
    std::string peer_address;
    std::string http_address;
    std::string upstream_kind;
    std::vector<std::string> labels;
    bool leaving{false};

    friend bool operator==(const member&, const member&) = default;
};

/*! @brief Sender, position and state in a heartbeat. Heartbeats of an instance
 * are ordered by incarnation (one per process start), then by sequence. */
struct heartbeat_sample
{
    instance_id id;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    bool leaving{false};
};

/*! @brief Members by id. A member is usable when it is listed, not leaving and
 * not suspected. A wrong view only costs time, since each instance itself
 * verifies the requests that it receives. */
class member_table
{
public:
    using value_type = member;
    using size_type = std::size_t;

    /*! @brief How long a member is suspected after a failed attempt. */
    static constexpr milliseconds suspicion_time{2000};

    /*! @brief Replaces the list and forgets instances that are no longer on it.
     * @return Whether the list changed. */
    bool assign(std::vector<member> listed);

    /*! @brief Records a heartbeat, which ends suspicion of its sender. A newer
     * incarnation also resets its leaving state.
     * @return False for a replayed or older heartbeat, which is ignored. */
    bool record_heartbeat(const heartbeat_sample& sample, time_point now);

    /*! @brief Records a failed attempt to reach a member, which makes it
     * suspected for `suspicion_time`. */
    void record_failure(const instance_id& id, time_point now);

    /*! @brief Records a response of a member, which ends suspicion. */
    void record_response(const instance_id& id);

    /*! @brief Records that a member announced that it is leaving. */
    void record_leaving(const instance_id& id);

    /*! @brief Returns a listed member, or null. */
    [[nodiscard]] const member* find(const instance_id& id) const;

    /*! @brief Returns whether requests may be sent to a member. */
    [[nodiscard]] bool usable(const instance_id& id, time_point now) const;

    /*! @brief Returns the usable members of a role, in one hall or in all. */
    [[nodiscard]] std::vector<member>
    select(role kind, const std::optional<hall_id>& hall, time_point now) const;

    /*! @brief Returns the usable members that an instance sends gossip to, at
     * most `count`: one half are its successors on a ring of hashed ids, so
     * that each instance is a neighbour of some others; the other half are
     * pseudo-random but stable, ranked by rendezvous hashing. */
    [[nodiscard]] std::vector<instance_id>
    gossip_neighbours(const instance_id& own, size_type count,
                      time_point now) const;

    /*! @brief Returns the entries that collect a hall's reports and grant its
     * rollout permits: the first `count` by rendezvous hashing among the usable
     * entries of the hall. If it has none, those of its region are ranked, and
     * if that has none either, all. */
    [[nodiscard]] std::vector<instance_id>
    designated_entries(const hall_id& hall, size_type count,
                       time_point now) const;

    /*! @brief Returns the region of a hall; empty when no member of the hall is
     * listed. */
    [[nodiscard]] region_id region_of(const hall_id& hall) const;

    /*! @brief Returns all listed members by id. */
    [[nodiscard]] const std::map<instance_id, member>& all() const noexcept
    {
        return listed_members;
    }

    [[nodiscard]] size_type size() const { return listed_members.size(); }
    [[nodiscard]] bool contains(const instance_id& id) const;
    [[nodiscard]] bool empty() const { return listed_members.empty(); }

private:
    /*! @brief What this process has observed of a member. */
    struct observation
    {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<time_point> failed_at;
        bool leaving{false};
    };

    std::map<instance_id, member> listed_members;
    std::map<instance_id, observation> observations;
};

} // namespace coursejunction

#endif
