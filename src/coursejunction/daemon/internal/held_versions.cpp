#include "coursejunction/daemon/internal/held_versions.hpp"

namespace coursejunction::internal
{

void held_versions::hold(const digest& version, const value_type& chunks)
{
    for (const auto& [name, other] : versions)
    {
        if (name != version)
            chunks->copy_common_from(*other);
    }
    versions[version] = chunks;
}

void held_versions::release_but(const digest& wanted)
{
    std::erase_if(versions, [&](const auto& one)
                  { return one.first != served && one.first != wanted; });
}

held_versions::value_type held_versions::find(const digest& version) const
{
    const auto known = versions.find(version);
    return known == versions.end() ? nullptr : known->second;
}

chunk_store::value_type held_versions::find(const digest& version,
                                            chunk_index chunk) const
{
    const auto known = find(version);
    return known ? known->find(chunk) : nullptr;
}

} // namespace coursejunction::internal
