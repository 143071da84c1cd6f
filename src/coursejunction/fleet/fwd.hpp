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
struct hall_evacuation;
class hall_evacuations;
class store_mirror;
class peer_directory;
struct hall_fetch_state;
class fetch_schedule;
class lag_tracker;
class mirror_puller;
class heartbeat_sender;
struct fleet_options;
struct fleet_hooks;
struct relay_rank;
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
