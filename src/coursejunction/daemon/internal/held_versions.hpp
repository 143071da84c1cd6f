/*! @file
 * @brief The versions whose chunks are held here, completely or in part.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_HELD_VERSIONS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_HELD_VERSIONS_HPP

#include <map>
#include <memory>
#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/transfer/chunk_store.hpp"

namespace coursejunction::internal
{

/*! @brief Holds the target version, the served version, and a version whose
 * transfer was stopped, until the next one has copied the chunks that both
 * share. */
class held_versions
{
public:
    using value_type = std::shared_ptr<chunk_store>;

    /*! @brief Sets the version that the engine serves. */
    void set_served(const digest& version) { served = version; }

    /*! @brief Adds a version and copies into it the chunks that it shares with
     * those already held. */
    void add(const digest& version, const value_type& chunks);

    /*! @brief Drops the versions that are neither the target nor served. */
    void release_unused(const digest& target);

    /*! @brief Returns a version, or null. */
    [[nodiscard]] value_type find(const digest& version) const;

    /*! @brief Returns a chunk of a version, or null. */
    [[nodiscard]] chunk_store::value_type find(const digest& version,
                                               chunk_index chunk) const;

    /*! @brief Returns all versions. */
    [[nodiscard]] const std::map<digest, value_type>& all() const noexcept
    {
        return versions;
    }

private:
    digest served;
    std::map<digest, value_type> versions;
};

} // namespace coursejunction::internal

#endif
