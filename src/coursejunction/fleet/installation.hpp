/*! @file
 * @brief Configuration of an installation as its operators write it: routes,
 * services, organisations and limits. Also the records of upstreams.
 */
#ifndef COURSEJUNCTION_FLEET_INSTALLATION_HPP
#define COURSEJUNCTION_FLEET_INSTALLATION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/stream_limits.hpp"

namespace coursejunction
{

using service_name = strong<struct service_tag, std::string>;

/*! @brief How often a request may be executed. */
enum class request_kind : std::uint8_t
{
    repeatable, /*!< Any number of times. */
    at_most_once,
    stream /*!< Answered with a stream of events; may be repeated only if the
              route is resumable. */
};

/*! @brief Weight of a service in a route with split traffic. */
struct service_share
{
    service_name service;
    std::uint32_t weight{1};
};

/*! @brief Which requests a route matches, and their limits. */
struct route_rule
{
    std::string name;
    std::string host;
    std::string prefix; /*!< Begins and ends with a slash. */
    request_kind kind{request_kind::at_most_once};
    /*! @brief A broken stream can be resumed after its last event. */
    bool resumable{false};
    bool keyless{false};     /*!< Needs no API key. */
    milliseconds timeout{0}; /*!< From the arrival of a request. */
    /*! @brief Latency target of the first byte that counts: for a stream, of
     * its first event. */
    milliseconds first_event_target{0};
    /*! @brief Latency target between two events; zero if not set. */
    milliseconds event_gap_target{0};
    /*! @brief Longest time without an event after which callers disconnect from
     * a stream; zero if unknown. */
    milliseconds caller_patience{0};
    /*! @brief Maximum executions of a repeatable request. */
    std::size_t max_attempts{1};
    std::int32_t priority{0}; /*!< 0 is the most urgent. */
    /*! @brief Regions in which its requests may be served; empty if any. */
    std::vector<region_id> allowed_regions;
    std::vector<service_share> services;

    /*! @brief Returns whether a request of this route may be executed more than
     * once. */
    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::repeatable ||
               (kind == request_kind::stream && resumable);
    }
};

/*! @brief Figures of a batching model engine, from the configuration. A pass is
 * one iteration of the engine over its running requests. */
struct engine_profile
{
    std::size_t slots{1}; /*!< Requests that run at the same time. */
    /*! @brief Time to write one token for a single running request. */
    double step_ms{10};
    double step_ms_per_request{0}; /*!< Additional ms per running request. */
    /*! @brief Additional ms per 1,000 tokens of context. */
    double step_ms_per_kilotoken{0};
    double prefill_tokens_per_ms{10}; /*!< Prompt tokens read in one ms. */
    /*! @brief Attention cost: ms per million pairs of prompt tokens. */
    double prefill_ms_per_million_pairs{0};
    /*! @brief Maximum of prompt tokens read in one pass. */
    double prefill_chunk_tokens{2048};
    double tokens_per_pass{1}; /*!< Tokens written per request in one pass. */
    double kv_cache_tokens{0}; /*!< Capacity of the KV cache. */
    double typical_prompt_tokens{1000};
    double typical_answer_tokens{100};
    std::size_t layers{1};
    std::size_t chunks{0}; /*!< Chunks of the weights of a version. */
    std::size_t chunk_bytes{0};
    double load_seconds{0}; /*!< Time to load all layers. */
    std::vector<std::string> models;
};

/*! @brief A service, to which upstreams belong. */
struct service_profile
{
    service_name name;
    /*! @brief Connections that one upstream accepts from all entries together;
     * 0 if unknown. */
    std::size_t max_connections{0};
    /*! @brief How long an upstream is cold after it started; zero if it is
     * never cold. */
    milliseconds cold_time{0};
    /*! @brief Requests a second that a cold upstream bears from all entries
     * together; zero if there is no limit. */
    double cold_requests_per_second{0};
    std::optional<engine_profile> engine;
    std::string origin; /*!< `IP:port` of an origin of weights; empty if there
                           is none. */
    hall_id origin_hall;
    /*! @brief Rate of the origin's link; zero if unknown. */
    byte_rate origin_rate{0};
};

/*! @brief Owner of an API key. */
struct organisation
{
    organisation_id id;
    std::int32_t priority{0}; /*!< 0 is the most urgent. */
    /*! @brief Regions in which its requests may be served; empty if any. */
    std::vector<region_id> allowed_regions;
};

/*! @brief One version of the operators' configuration. */
struct installation
{
    std::uint64_t version{0};
    std::vector<route_rule> routes;
    std::map<service_name, service_profile> services;
    std::map<std::string, organisation> keys; /*!< By API key. */
    /*! @brief Requests need an API key, except on keyless routes. */
    bool requires_key{false};
    /*! @brief Limits on callers' connections and requests. */
    stream_limits caller_limits;

    /*! @brief Returns the host's route with the longest prefix that matches a
     * path, or null. */
    [[nodiscard]] const route_rule* route(std::string_view host,
                                          std::string_view path) const;

    /*! @brief Returns the owner of an API key, or null. */
    [[nodiscard]] const organisation* owner(const std::string& key) const;

    /*! @brief Returns a service by name, or null. */
    [[nodiscard]] const service_profile*
    service(const service_name& name) const;

    /*! @brief Returns the first service with an origin of weights, or null. */
    [[nodiscard]] const service_profile* origin() const;
};

/*! @brief Selects the service of a request on a route with split traffic. All
 * attempts of a request have the same hash and get the same service.
 * @return The service, or null if the weights sum up to zero. */
[[nodiscard]] const service_name* service_for(const route_rule& route,
                                              std::uint64_t hash);

/*! @brief Record in the store with which an upstream registers itself. */
struct upstream_record
{
    instance_id id;
    incarnation life; /*!< Of the upstream's process. */
    service_name service;
    std::string address; /*!< `IP:port`. */
    hall_id hall;
    std::size_t slots{1};
    bool leaving{false};
    std::uint64_t cold_remaining_ms{0}; /*!< Rest of a cold start. */
    /*! @brief Version of each loaded model. */
    std::map<std::string, std::uint64_t> model_versions;
    /*! @brief Increases with each record of this incarnation. */
    std::uint64_t sequence{0};
};

/*! @brief The version of a model that upstreams should serve. */
struct version_target
{
    std::string model;
    std::uint64_t version{1};
};

} // namespace coursejunction

#endif
