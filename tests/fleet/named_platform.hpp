/*! @file
 * @brief A platform whose store publishes versions of a model, for tests of
 * `fleet_view`.
 */
#ifndef COURSEJUNCTION_TESTS_FLEET_NAMED_PLATFORM_HPP
#define COURSEJUNCTION_TESTS_FLEET_NAMED_PLATFORM_HPP

#include <string>

#include "coursejunction/fleet/fleet_view.hpp"

namespace named_platform
{

namespace cj = coursejunction;

/*! @brief Key under which a version of a model is published; the payload is the
 * version number. */
inline std::string name_key(const std::string& model)
{
    return "named/" + model;
}

/*! @brief Recognises published versions and version records. */
struct catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        if (key.starts_with("named/"))
            return cj::item_kind::version;
        return key.starts_with(cj::version_record_prefix)
                   ? cj::item_kind::version_record
                   : cj::item_kind::other;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::result<cj::upstream_record> upstream(const std::string&,
                                                    const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::hall_id evacuated_hall(const std::string& key)
    {
        return cj::hall_id(key);
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string& payload)
    {
        return cj::version_target{"m", std::stoull(payload)};
    }
};

struct platform
{
    using catalogue = named_platform::catalogue;
};

using view = cj::fleet_view<platform>;

} // namespace named_platform

#endif
