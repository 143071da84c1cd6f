/*! @file
 * @brief Declares the types of the fleet module.
 */
#ifndef COURSEJUNCTION_FLEET_FWD_HPP
#define COURSEJUNCTION_FLEET_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class request_kind : std::uint8_t;
struct route_rule;
struct engine_profile;
struct service_profile;
struct installation;
struct upstream_record;
class store_mirror;
class peer_directory;
struct hall_standing;
class fetch_turn;
class mirror_age;
class mirror_puller;
class beat_sender;
struct fleet_options;
struct fleet_hooks;
struct digest_place;
struct store_page;
template <typename Store>
class store_reader;
template <typename Store>
class fleet_node;
template <typename Store>
class quarantine_writer;
struct version_record;
template <typename Store>
class version_record_writer;
struct entry_ranking;
class poll_schedule;
struct offered_version;
struct missed_version;
class timed_condition;
struct version_alarms;

} // namespace coursejunction

#endif
