/*! @file
 * @brief Declares the types of the daemon module.
 */
#ifndef COURSEJUNCTION_DAEMON_FWD_HPP
#define COURSEJUNCTION_DAEMON_FWD_HPP

namespace coursejunction
{

class node;
class entry;
class side;
class request_service;
class resource_api;
class report_service;
class run_service;
class transfer_service;
class upstream_client;

namespace internal
{

template <typename Engine>
class engine_hand_over;
class answer_events;
class caller_answers;
class claim_notes;
class configuration_watch;
class fenced_orders;
class have_announcer;
class heartbeat_gossip;
class held_versions;
class live_upstreams;
class origin_calls;
class paced_downlink;
class peer_links;
class retry_rule;
class run_claims;
template <typename Key>
class service_times;
class side_reports;
class version_fetch;
struct wanted_version;

} // namespace internal

} // namespace coursejunction

#endif
