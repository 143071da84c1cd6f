/*! @file
 * @brief Persists which weights of an upstream were found right in the
 * platform's store, where they outlast the sidecar.
 */
#ifndef COURSEJUNCTION_ROLLOUT_WEIGHTS_RECORD_WRITER_HPP
#define COURSEJUNCTION_ROLLOUT_WEIGHTS_RECORD_WRITER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/log.hpp"
#include "coursejunction/fleet/key_writer.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/version_record_writer.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/rollout/weights_record.hpp"

namespace coursejunction
{

/*! @brief Writes one sidecar's record until the mirror shows it. The key is
 * that of the sidecar's address, so that the number of keys is bounded by that
 * of the instances, and no other process writes it.
 * @tparam Store A `Permanent_store`. */
template <typename Store>
class weights_record_writer
{
public:
    /*! @brief Delays after writes, until the mirror shows their effect. */
    static constexpr milliseconds initial_backoff{1000};
    static constexpr milliseconds max_backoff{8000};

    /*! @param address IP address of the sidecar.
     * @param random_seed Must differ between sidecars. */
    weights_record_writer(event_loop& owner, Store& target,
                          const store_mirror& mirrored, metrics& registry,
                          const std::string& address, std::uint32_t random_seed)
        : store(target), mirror(mirrored), key(weights_record_key(address)),
          writer(owner, registry, "weights_record_writes_total",
                 backoff(initial_backoff, max_backoff, random_seed))
    {
    }

    /*! @brief Returns the stored record, as far as the mirror shows it; nothing
     * if there is none or it is malformed. */
    [[nodiscard]] std::optional<weights_record> stored() const
    {
        const auto* value = mirror.find(key);
        if (value == nullptr)
            return std::nullopt;
        const auto read = read_weights_record(value->payload);
        return read ? std::optional(read.value()) : std::nullopt;
    }

    /*! @brief Sets the record that is to be stored. */
    void set(const weights_record& record)
    {
        if (wanted && wanted->record == record)
            return;
        wanted = wanted_record{record, weights_record_payload(record), false};
        writer.reset_backoff();
    }

    /*! @brief Writes the record if the store lacks it; to be called several
     * times a second. */
    void write_if_missing()
    {
        if (!wanted || writer.busy())
            return;
        const auto* value = mirror.find(key);
        if (value != nullptr && value->payload == wanted->payload)
        {
            wanted->written = true;
            return;
        }
        store.put_permanent(
            key, wanted->payload, value == nullptr ? 0 : value->revision,
            writer.begin([this, record = wanted->record](write_outcome outcome,
                                                         const std::string& why)
                         { finish(record, outcome, why); }));
    }

    /*! @brief Returns whether a record was set that the store has not
     * acknowledged. */
    [[nodiscard]] bool pending() const { return wanted && !wanted->written; }

private:
    struct wanted_record
    {
        weights_record record;
        std::string payload;
        bool written{false}; /*!< Acknowledged, or shown by the mirror. */
    };

    void finish(const weights_record& record, write_outcome outcome,
                const std::string& why)
    {
        log::state("weights_record_write",
                   {{"version", std::to_string(record.version)},
                    {"sequence", std::to_string(record.sequence)},
                    {"result", write_outcome_name(outcome)},
                    {"why", why}});
        if (outcome == write_outcome::written)
        {
            if (wanted->record == record)
                wanted->written = true;
            writer.reset_backoff();
        }
        writer.back_off();
    }

    Store& store;
    const store_mirror& mirror;
    std::string key;
    std::optional<wanted_record> wanted;
    key_writer writer;
};

} // namespace coursejunction

#endif
