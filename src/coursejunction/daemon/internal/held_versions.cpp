#include "coursejunction/daemon/internal/held_versions.hpp"

namespace coursejunction::internal
{

void held_versions::add(const digest& version, const value_type& chunks)
{
    for (const auto& [id, other] : versions)
    {
        if (id != version)
            chunks->copy_common_from(*other);
    }
    versions[version] = chunks;
}

void held_versions::release_unused(const digest& target)
{
    std::erase_if(versions, [&](const auto& entry)
                  { return entry.first != served && entry.first != target; });
}

held_versions::value_type held_versions::find(const digest& version) const
{
    const auto found = versions.find(version);
    return found == versions.end() ? nullptr : found->second;
}

chunk_store::value_type held_versions::find(const digest& version,
                                            chunk_index chunk) const
{
    const auto found = find(version);
    return found ? found->find(chunk) : nullptr;
}

} // namespace coursejunction::internal
