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
class upstream_book;
class placer;
class admission;
class first_try;
class refusal_memory;
class deadline_floor;
struct refused_try;
struct caller_past;
class waiting_line;
class dispatcher;
struct entry_demand;
struct line_stretch;
struct ended_life;
struct upstream_notice;
class upstream_terms;
class departed_terms;
struct known_upstream;
struct upstream_choice;
class request_limit;
struct limit_share;

} // namespace coursejunction

#endif
