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

/*! @brief One change of the configuration, as requested by an operator. */
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
    deployment spec; /*!< Unused by `remove`. */
    /*! @brief Revision of the deployment that the change is based on; a newer
     * one is a conflict. Unused by `create`. */
    revision base_revision;
};

/*! @brief All deployments under one revision, with the ids of the last writes.
 * It is stored as one value in the platform's key-value service, so that a
 * compare-and-swap of that value puts the changes of all operators in order. */
class configuration
{
public:
    using value_type = deployment;
    using container_type = std::map<deployment_name, deployment>;

    /*! @brief Largest value that the platform's key-value service stores, in
     * bytes. */
    static constexpr std::size_t max_bytes = 1'000'000;

    /*! @brief How many writes are recorded, so that a writer whose response was
     * lost can find out whether its write took effect. */
    static constexpr std::size_t max_recorded_writes = 128;

    configuration() = default;

    /*! @brief Parses the JSON of `to_json`.
     * @return The configuration, or `invalid`. */
    [[nodiscard]] static result<configuration> parse(std::string_view text);

    /*! @brief Returns the configuration as JSON. */
    [[nodiscard]] std::string to_json() const;

    /*! @brief Returns the configuration with a change applied, under the next
     * revision.
     * @param id Recorded as the write that made the change.
     * @return `conflict` when the deployment exists already or was changed
     * since `base_revision`; `not_found`; or `invalid` when the result exceeds
     * `max_bytes`. */
    [[nodiscard]] result<configuration>
    apply(const configuration_change& change, const write_id& id) const;

    /*! @brief Returns whether this configuration contains all writes of another
     * one, or is the same. One whose last write is older than the recorded
     * writes counts as an ancestor. */
    [[nodiscard]] bool descends_from(const configuration& other) const;

    /*! @brief Merges this configuration with the stored one, after a rollback
     * of the key-value service that lost acknowledged writes.
     *
     * A deployment changed in only one of them is taken from there. One changed
     * in both is taken from the stored configuration, whose change is later.
     * @param id Recorded as the write that made the merge.
     * @return The descendant, if one descends from the other; else a new
     * configuration that descends from both. */
    [[nodiscard]] configuration merge(const configuration& stored,
                                      const write_id& id) const;

    /*! @brief Returns the revision that a write made, if it is still
     * recorded. */
    [[nodiscard]] std::optional<revision>
    revision_of_write(const write_id& id) const;

    /*! @brief Returns a deployment by name, or null. */
    [[nodiscard]] const deployment* find(const deployment_name& name) const;

    /*! @brief Returns all deployments by name. */
    [[nodiscard]] const container_type& deployments() const noexcept
    {
        return specs;
    }

    /*! @brief Returns the revision; zero before the first write. */
    [[nodiscard]] revision current_revision() const noexcept { return current; }

private:
    struct recorded_write
    {
        write_id id;
        revision made; /*!< Revision that the write made. */

        bool operator==(const recorded_write&) const = default;
    };

    [[nodiscard]] bool has_recorded(const recorded_write& write) const;
    [[nodiscard]] bool includes_change(const configuration& other,
                                       const deployment& spec) const;
    void merge_deployments(const configuration& other);
    void merge_writes(const configuration& other);
    void record_write(const write_id& id);

    revision current;
    container_type specs;
    std::deque<recorded_write> writes;
};

} // namespace coursejunction

#endif
