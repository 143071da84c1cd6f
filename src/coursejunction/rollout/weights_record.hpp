/*! @file
 * @brief Record in the platform's store that the weights of an upstream were
 * checked and found right; pure.
 *
 * The upstream itself does not know whether its weights are right, so that a
 * sidecar that starts could not tell without this record.
 */
#ifndef COURSEJUNCTION_ROLLOUT_WEIGHTS_RECORD_HPP
#define COURSEJUNCTION_ROLLOUT_WEIGHTS_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief Prefix of the keys of weights records; the sidecar's address follows.
 */
inline constexpr std::string_view weights_record_prefix = "weights/";

/*! @brief The load whose weights were found right. */
struct weights_record
{
    std::string model;
    std::uint64_t version{0};
    incarnation life; /*!< Of the upstream; empty if it reports none. */
    std::uint64_t sequence{0}; /*!< Load commands that it had accepted. */

    /*! @brief Returns the record of the weights in a report. */
    [[nodiscard]] static weights_record of(const engine_report& report)
    {
        return {report.model, report.version, report.life, report.sequence};
    }

    /*! @brief Returns whether this is about an earlier incarnation than the one
     * that reports: the count of load commands never falls in one. */
    [[nodiscard]] bool is_outdated(const engine_report& report) const
    {
        return life < report.life ||
               (life == report.life && sequence > report.sequence);
    }

    friend bool operator==(const weights_record&,
                           const weights_record&) = default;
};

/*! @brief Returns whether the weights in a report are to be recorded. Those
 * that no command loaded need no record, but they replace one of an earlier
 * incarnation, which might otherwise count for the next load.
 * @param trusted Whether the weights are known to be right.
 * @param stored The record in the store, if any. */
[[nodiscard]] inline bool
needs_record(const engine_report& report, bool trusted,
             const std::optional<weights_record>& stored)
{
    return report.sequence > 0 ? trusted
                               : stored && stored->is_outdated(report);
}

/*! @brief Returns the key of the record of a sidecar.
 * @param address IP address of the sidecar. */
[[nodiscard]] std::string weights_record_key(const std::string& address);

/*! @brief Serializes a record. */
[[nodiscard]] std::string weights_record_payload(const weights_record& record);

/*! @brief Parses a record.
 * @return The record, or `invalid` if it is malformed. */
[[nodiscard]] result<weights_record>
read_weights_record(std::string_view payload);

} // namespace coursejunction

#endif
