/*! @file
 * @brief Conversion of a deployment from and to JSON, shared by the files of
 * this module.
 */
#ifndef COURSEJUNCTION_RESOURCE_INTERNAL_DEPLOYMENT_JSON_HPP
#define COURSEJUNCTION_RESOURCE_INTERNAL_DEPLOYMENT_JSON_HPP

#include <nlohmann/json.hpp>

#include "coursejunction/resource/deployment.hpp"

namespace coursejunction::internal
{

[[nodiscard]] nlohmann::json to_json(const deployment& spec);
[[nodiscard]] result<deployment> from_json(const nlohmann::json& object);

} // namespace coursejunction::internal

#endif
