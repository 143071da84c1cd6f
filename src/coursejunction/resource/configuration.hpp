/*! @file
 * @brief The whole configuration: every deployment under one revision.
 */
#ifndef COURSEJUNCTION_RESOURCE_CONFIGURATION_HPP
#define COURSEJUNCTION_RESOURCE_CONFIGURATION_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/resource/deployment.hpp"

namespace coursejunction
{

/*! @brief What an operator wants changed. */
struct configuration_change
{
    enum class action : std::uint8_t
    {
        create,
        replace,
        remove
    };

    action kind{action::create};
    deployment_name name;
    deployment spec;
    revision base_revision;
};

/*! @brief All deployments, one revision, and the last writes that made it.
 * It is one value in the platform's key-value service, so one
 * compare-and-swap orders all operators. */
class configuration
{
public:
    using value_type = deployment;
    using container_type = std::map<deployment_name, deployment>;

    /*! @brief The platform's values hold at most a megabyte. */
    static constexpr std::size_t max_bytes = 1'000'000;

    /*! @brief How many writes a later read can still recognise. */
    static constexpr std::size_t kept_writes = 128;

    configuration() = default;

    /*! @brief Reads a configuration as `to_json` wrote it. */
    [[nodiscard]] static result<configuration> parse(std::string_view text);

    /*! @brief Returns the configuration as JSON. */
    [[nodiscard]] std::string to_json() const;

    /*! @brief Makes the next configuration.
     * @return The next one, `conflict` with the current revision of the
     * resource, `not_found`, or `invalid` when it would grow too large. */
    [[nodiscard]] result<configuration>
    apply(const configuration_change& change, const write_id& id) const;

    /*! @brief Tells whether this one was made from another, or is the same.
     * One whose last write is no longer kept counts as an ancestor. */
    [[nodiscard]] bool descends_from(const configuration& other) const;

    /*! @brief Joins this one with what the key-value service holds after it
     * came back without writes that it had acknowledged.
     *
     * A deployment that only one side has changed is taken from that side; one
     * that both have is taken from the service, whose change is the later one.
     * @return The newer one, if one descends from the other; else a new one
     * that descends from both. */
    [[nodiscard]] configuration merge(const configuration& stored,
                                      const write_id& id) const;

    /*! @brief Returns the revision that a write made, if it is still kept. */
    [[nodiscard]] std::optional<revision>
    revision_of_write(const write_id& id) const;

    /*! @brief Returns the deployment of a name, or null. */
    [[nodiscard]] const deployment* find(const deployment_name& name) const;

    /*! @brief Returns all deployments by name. */
    [[nodiscard]] const container_type& deployments() const noexcept
    {
        return specs;
    }

    /*! @brief Returns the revision; zero before the first write. */
    [[nodiscard]] revision current_revision() const noexcept { return current; }

private:
    struct write
    {
        write_id id;
        revision made;

        bool operator==(const write&) const = default;
    };

    [[nodiscard]] bool keeps(const write& one) const;
    [[nodiscard]] bool knows(const configuration& other,
                             const deployment& spec) const;
    void take_changes(const configuration& from);
    void add_writes(const configuration& from);
    void add_write(const write_id& id);

    revision current;
    container_type specs;
    std::deque<write> writes;
};

} // namespace coursejunction

#endif
