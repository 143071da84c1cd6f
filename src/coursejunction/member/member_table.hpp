/*! @file
 * @brief Who is there: the platform's lagging instance list, corrected by
 * heartbeats and by failed attempts.
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

/*! @brief One instance as the list shows it. */
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

/*! @brief What a heartbeat says of its sender. */
struct heartbeat_sample
{
    instance_id id;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    bool leaving{false};
};

/*! @brief Members by id. A member is usable when it is listed, not leaving
 * and not suspect; a wrong belief only costs time, since every instance
 * checks for itself what it is asked. */
class member_table
{
public:
    using value_type = member;
    using size_type = std::size_t;

    /*! @brief How long a failed attempt keeps a member suspect. */
    static constexpr milliseconds suspicion_time{2000};

    /*! @brief Replaces the list.
     * @return Whether anything changed. */
    bool assign(std::vector<member> listed);

    /*! @brief Takes a heartbeat.
     * @return False for a replayed or older one. */
    bool record_heartbeat(const heartbeat_sample& sample, time_point now);

    /*! @brief Notes that a member could not be reached. */
    void record_failure(const instance_id& id, time_point now);

    /*! @brief Notes that a member has answered. */
    void record_response(const instance_id& id);

    /*! @brief Notes that a member said that it is leaving. */
    void record_leaving(const instance_id& id);

    /*! @brief Returns a listed member, or null. */
    [[nodiscard]] const member* find(const instance_id& id) const;

    /*! @brief Tells whether work may be sent to a member. */
    [[nodiscard]] bool usable(const instance_id& id, time_point now) const;

    /*! @brief Returns usable members of a role, optionally of one hall. */
    [[nodiscard]] std::vector<member>
    select(role kind, const std::optional<hall_id>& hall, time_point now) const;

    /*! @brief Returns the ids that this instance gossips with: half of them
     * its successors on a ring, so that everybody has some who speak to it,
     * half of them random but fixed. */
    [[nodiscard]] std::vector<instance_id>
    gossip_neighbours(const instance_id& own, size_type count,
                      time_point now) const;

    /*! @brief Returns the entries that gather a hall's reports and grant its
     * permits: the first ranks of a rendezvous among the hall's entries or,
     * when it has none that is usable, its region's, or all. */
    [[nodiscard]] std::vector<instance_id>
    designated_entries(const hall_id& hall, size_type count,
                       time_point now) const;

    /*! @brief Returns the region of a hall; empty when nobody is listed. */
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
    struct observation
    {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        std::optional<time_point> failed_at;
        bool leaving{false};
    };

    std::map<instance_id, member> listed_members;
    std::map<instance_id, observation> observed;
};

} // namespace coursejunction

#endif
