/*! @file
 * @brief Writes a copy of the newest configuration to the platform's store
 * while the operator's key holds an older one.
 */
#ifndef COURSEJUNCTION_FLEET_CONFIGURATION_COPY_WRITER_HPP
#define COURSEJUNCTION_FLEET_CONFIGURATION_COPY_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/key_writer.hpp"
#include "coursejunction/fleet/store_mirror.hpp"

namespace coursejunction
{

/*! @brief Protects the newest configuration against the operator's key going
 * back to an older one: a write that got no response may take effect seconds
 * later and overwrite a newer one, and a store restored from an older snapshot
 * lacks the newest. Running processes remember the newest; those that start
 * after all others ended read the copy. It is removed once it is no longer
 * needed, since it may be large.
 * @tparam Store A `Permanent_store` that can also remove keys.
 * @tparam Catalogue An `Item_catalogue` that provides `order`. */
template <typename Store, typename Catalogue>
class configuration_copy_writer
{
public:
    /*! @brief An entry delays its write by this for each entry before it, so
     * that usually only the first one writes. */
    static constexpr milliseconds rank_delay{500};

    /*! @brief Delays after writes, until the mirror shows their effect. */
    static constexpr milliseconds initial_backoff{500};
    static constexpr milliseconds max_backoff{4000};

    /*! @param random_seed Must differ between entries. */
    configuration_copy_writer(event_loop& owner, Store& target,
                              const store_mirror& mirrored, metrics& registry,
                              std::uint32_t random_seed)
        : store(target), mirror(mirrored),
          writer(owner, registry, "configuration_copy_writes_total",
                 backoff(initial_backoff, max_backoff, random_seed))
    {
    }

    /*! @brief Reads the versions of the operator's configuration and of the
     * copy after keys of the mirror changed.
     * @param in_force The version of the configuration in force. */
    void on_keys_changed(const std::vector<std::string>& keys,
                         std::uint64_t in_force)
    {
        bool changed = false;
        for (const auto& key : keys)
        {
            const auto kind = Catalogue::kind(key);
            if (kind == item_kind::configuration)
                operator_value.key = key;
            changed = changed || kind == item_kind::configuration ||
                      kind == item_kind::configuration_copy;
        }
        if (!changed || operator_value.key.empty())
            return;
        operator_value.version = read_version(operator_value.key, in_force);
        copied_version = read_version(configuration_copy_key(), in_force);
    }

    /*! @brief Writes or removes the copy if that is due and no other entry did;
     * to be called several times a second.
     * @param rank The number of entries before this one. */
    void write_if_due(std::size_t rank, time_point now)
    {
        if (newest == 0 || operator_value.key.empty())
            return;
        const bool needed = operator_value.version < newest || lost_by_store();
        const auto* copy = mirror.find(configuration_copy_key());
        const bool present = copy != nullptr;
        if (needed ? present && copied_version == newest : !present)
        {
            due_since.reset();
            return;
        }
        if (!due_since)
            due_since = now;
        if (writer.busy() ||
            now - *due_since < rank_delay * static_cast<std::int64_t>(rank))
            return;
        const auto revision = copy == nullptr ? 0 : copy->revision;
        if (needed)
            store.put_permanent(configuration_copy_key(), payload, revision,
                                writer.begin(on_outcome("keep")));
        else
            store.remove(configuration_copy_key(), revision,
                         writer.begin(on_outcome("remove")));
    }

private:
    /*! @brief A key, and the version of the configuration that it holds; 0 if
     * it holds none. */
    struct keyed_version
    {
        std::string key;
        std::uint64_t version{0};
    };

    /*! @brief Reads the version of a configuration, and remembers its payload
     * if it is the one in force. The copy is parsed like the operator's value.
     * @return 0 if the key holds none. */
    std::uint64_t read_version(const std::string& key, std::uint64_t in_force)
    {
        const auto* value = mirror.find(key);
        if (value == nullptr)
            return 0;
        const auto version =
            Catalogue::order(operator_value.key, value->payload).count;
        if (version == in_force && in_force > newest)
        {
            newest = in_force;
            payload = value->payload;
        }
        return version;
    }

    /*! @brief Returns whether the operator's key is absent, or the mirror's
     * value is from an earlier era: the store was restored from an older
     * snapshot without it. */
    [[nodiscard]] bool lost_by_store() const
    {
        const auto* value = mirror.find(operator_value.key);
        return value == nullptr || value->era < mirror.position().era;
    }

    [[nodiscard]] key_writer::outcome_callback
    on_outcome(const std::string& what)
    {
        return [this, what, version = newest](write_outcome outcome,
                                              const std::string& why)
        {
            log::state("configuration_copy_write",
                       {{"what", what},
                        {"version", std::to_string(version)},
                        {"result", write_outcome_name(outcome)},
                        {"why", why}});
            if (outcome == write_outcome::written)
                writer.reset_backoff();
            writer.back_off();
        };
    }

    Store& store;
    const store_mirror& mirror;
    key_writer writer;
    keyed_version operator_value;
    std::uint64_t copied_version{0}; /*!< Of the copy in the store. */
    std::string payload;             /*!< Of the newest configuration. */
    std::uint64_t newest{0};         /*!< Version of that payload. */
    /*! @brief Since when the copy has to be written or removed. */
    std::optional<time_point> due_since;
};

} // namespace coursejunction

#endif
