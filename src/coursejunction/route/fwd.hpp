/*! @file
 * @brief Declares the types of the route module.
 */
#ifndef COURSEJUNCTION_ROUTE_FWD_HPP
#define COURSEJUNCTION_ROUTE_FWD_HPP

#include <cstdint>

namespace coursejunction
{

struct upstream_state;
struct route_request;
class upstream_table;
class scored_policy;
class round_robin_policy;
class least_loaded_policy;
class fair_queue;
class upstream_registry;
class placer;
class admission;
class retry_detector;
class recent_refusals;
class deadline_floor;
struct refusal_record;
struct client_history;
class placement_queue;
class dispatcher;
class slot_reserve;
struct returning_options;
struct reserved_slots;
class rank_order;
struct request_rank;
struct entry_demand;
struct demand_interval;
struct ended_incarnation;
struct upstream_notice;
class upstream_pace;
struct awaited_first_event;
struct hedge_options;
class upstream_terms;
class retained_terms;
struct upstream_departure;
class upstream_departures;
class evacuated_halls;
struct known_upstream;
struct upstream_choice;
class request_limit;
struct limit_share;
class region_restriction;
struct cold_policy;
class cold_start;
class cold_division;
class cold_starts;
class organisation_shares;
class organisation_limits;
class organisation_reports;
struct organisation_decision;

} // namespace coursejunction

#endif
