/*! @file
 * @brief What the operators declare for an installation: routes, services,
 * organisations and limits.
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

/*! @brief How often a request may run. */
enum class request_kind : std::uint8_t
{
    repeatable,   /*!< As often as needed. */
    at_most_once, /*!< Once at most. */
    stream        /*!< Answers with events; repeatable only where resumable. */
};

/*! @brief A service's part of a route's requests. */
struct service_share
{
    service_name service;
    std::uint32_t weight{1};
};

/*! @brief Which requests go where, and what they may take. */
struct route_rule
{
    std::string name;
    std::string host;
    std::string prefix; /*!< Begins and ends with a slash. */
    request_kind kind{request_kind::at_most_once};
    bool resumable{false};
    bool keyless{false}; /*!< Needs no key. */
    milliseconds timeout{0};
    milliseconds first_event_target{0}; /*!< For the first byte that counts. */
    milliseconds event_gap_target{0}; /*!< Between events; zero when not set. */
    std::size_t max_attempts{1};
    std::int32_t priority{0};
    std::vector<service_share> services;

    /*! @brief Tells whether a request of this route may run more than once. */
    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::repeatable ||
               (kind == request_kind::stream && resumable);
    }
};

/*! @brief Figures of a batching model engine, from the configuration. */
struct engine_profile
{
    std::size_t slots{1};
    double step_ms{10};            /*!< One token for a lone request. */
    double step_ms_per_request{0}; /*!< More ms for each running request. */
    double step_ms_per_kilotoken{
        0}; /*!< More ms for 1,000 tokens of context. */
    double prefill_tokens_per_ms{10}; /*!< Prompt tokens read in a ms. */
    double prefill_ms_per_million_pairs{
        0}; /*!< ms for a million token pairs. */
    double prefill_chunk_tokens{
        2048};                 /*!< Prompt tokens read in one pass at most. */
    double tokens_per_pass{1}; /*!< Tokens written in one pass. */
    double kv_cache_tokens{0};
    double typical_prompt_tokens{1000};
    double typical_answer_tokens{100};
    std::size_t layers{1};
    std::size_t chunks{0};
    std::size_t chunk_bytes{0};
    double load_seconds{0}; /*!< Time to put all layers to work. */
    std::vector<std::string> models;
};

/*! @brief One service that upstreams belong to. */
struct service_profile
{
    service_name name;
    std::size_t max_connections{0};
    std::optional<engine_profile> engine;
    std::string origin; /*!< `IP:port` of an origin of weights. */
    hall_id origin_hall;
    byte_rate origin_rate{0};
};

/*! @brief Whose a key is. */
struct organisation
{
    organisation_id id;
    std::int32_t priority{0};
};

/*! @brief One version of the operators' configuration. */
struct installation
{
    std::uint64_t version{0};
    std::vector<route_rule> routes;
    std::map<service_name, service_profile> services;
    std::map<std::string, organisation> keys;
    bool requires_key{false};    /*!< Requests need a key. */
    stream_limits caller_limits; /*!< Of callers. */

    /*! @brief Returns the route of a host with the longest prefix of a path,
     * or null. */
    [[nodiscard]] const route_rule* route(std::string_view host,
                                          std::string_view path) const;

    /*! @brief Returns the owner of a key, or null. */
    [[nodiscard]] const organisation* owner(const std::string& key) const;

    /*! @brief Returns a service, or null. */
    [[nodiscard]] const service_profile*
    service(const service_name& name) const;

    /*! @brief Returns the first origin of weights, or null. */
    [[nodiscard]] const service_profile* origin() const;
};

/*! @brief Picks a route's service for a request: the same for every attempt
 * with the same hash. */
[[nodiscard]] const service_name* service_for(const route_rule& route,
                                              std::uint64_t hash);

/*! @brief One upstream as it declares itself. */
struct upstream_record
{
    instance_id id;
    incarnation life;
    service_name service;
    std::string address; /*!< `IP:port`. */
    hall_id hall;
    std::size_t slots{1};
    bool leaving{false};
    std::uint64_t cold_start_ms{0};
    std::map<std::string, std::uint64_t>
        model_versions;        /*!< Model and version. */
    std::uint64_t sequence{0}; /*!< Of its records in this life. */
};

/*! @brief The version of a model that is to be served. */
struct version_target
{
    std::string model;
    std::uint64_t version{1};
};

} // namespace coursejunction

#endif
