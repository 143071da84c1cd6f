/*! @file
 * @brief Declares the types of the proxy module.
 */
#ifndef COURSEJUNCTION_PROXY_FWD_HPP
#define COURSEJUNCTION_PROXY_FWD_HPP

namespace coursejunction
{

class attempt_closer;
class crash_guard;
class event_splitter;
class notice_intake;
class cold_start_monitor;
struct live_entries;
class organisation_rate_exchange;
class open_exchanges;
class retry_budgets;
class retry_token;
class store_change_intake;
struct caller_request;
struct crash_permission;
struct attempt_metadata;
struct response_metadata;
template <typename Codec>
class exchange_service;
template <typename Platform>
class gateway;

} // namespace coursejunction

#endif
