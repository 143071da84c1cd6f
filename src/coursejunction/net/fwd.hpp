/*! @file
 * @brief Declares the types of the net module.
 */
#ifndef COURSEJUNCTION_NET_FWD_HPP
#define COURSEJUNCTION_NET_FWD_HPP

#include <cstddef>
#include <cstdint>

namespace coursejunction
{

class event_loop;
class timer;
class peer_hub;
class datagram_socket;
class http_server;
class http_reply;
class http_client;
struct http_request;
struct http_call;
struct http_result;
struct http_options;

namespace internal
{

struct stream_server_state;

} // namespace internal

} // namespace coursejunction

#endif
