/*! @file
 * @brief Upstreams, a service and a request for tests of the placement.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_PLACEMENT_FIXTURES_HPP
#define COURSEJUNCTION_TESTS_ROUTE_PLACEMENT_FIXTURES_HPP

#include <cstdint>
#include <string>

#include "coursejunction/route/placement.hpp"

namespace placement_test
{

namespace cj = coursejunction;
using namespace std::chrono_literals;

inline cj::upstream_record record(const std::string& id,
                                  const std::string& hall,
                                  const std::string& address)
{
    cj::upstream_record result;
    result.id = cj::instance_id(id);
    result.service = cj::service_name("llm");
    result.address = address;
    result.hall = cj::hall_id(hall);
    result.slots = 4;
    result.model_versions["m"] = 1;
    return result;
}

inline cj::service_profile llm()
{
    cj::service_profile result;
    result.name = cj::service_name("llm");
    cj::engine_profile engine;
    engine.slots = 4;
    engine.step_ms = 9;
    engine.prefill_tokens_per_ms = 19;
    engine.tokens_per_pass = 5;
    result.engine = engine;
    return result;
}

inline cj::message::upstream_status status(std::uint64_t sequence)
{
    cj::message::upstream_status result;
    result.model = "m";
    result.version = 1;
    result.sequence = sequence;
    result.open = true;
    result.reachable = true;
    return result;
}

inline cj::placement_request default_request()
{
    cj::placement_request result;
    result.service = cj::service_name("llm");
    result.model = "m";
    result.min_version = 1;
    result.prompt_tokens = 1000;
    result.target = 400ms;
    result.limits.first_event_ms = 460;
    return result;
}

} // namespace placement_test

#endif
