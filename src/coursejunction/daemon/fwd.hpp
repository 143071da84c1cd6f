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
class engine_stager;
class event_framer;
class response_writer;
class replicated_claims;
class configuration_watch;
class fenced_commands;
class have_announcer;
class heartbeat_gossip;
class held_versions;
class live_upstreams;
class weight_source_client;
class paced_downlink;
class peer_links;
class retry_policy;
class run_claims;
template <typename Key>
class service_times;
class report_publisher;
class version_fetch;
struct target_version;

} // namespace internal

} // namespace coursejunction

#endif
