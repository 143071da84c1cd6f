/*! @file
 * @brief The versions whose chunks are held here, wholly or in part.
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

/*! @brief Keeps the wanted version, the served one, and one that was stopped
 * half-way until the next has taken over the chunks both have in common. */
class held_versions
{
public:
    using value_type = std::shared_ptr<chunk_store>;

    /*! @brief Says which version the engine serves. */
    void serving(const digest& version) { served = version; }

    /*! @brief Holds a version; chunks that others have in common with it are
     * taken over. */
    void hold(const digest& version, const value_type& chunks);

    /*! @brief Drops versions that are neither wanted nor served. */
    void release_but(const digest& wanted);

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
