/*! @file
 * @brief Forward declarations of the run module.
 */
#ifndef COURSEJUNCTION_RUN_FWD_HPP
#define COURSEJUNCTION_RUN_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class start_decision : std::uint8_t;
enum class loss_cause : std::uint8_t;
enum class claim_verdict : std::uint8_t;
enum class crash_status : std::uint8_t;
enum class crash_evidence : std::uint8_t;
enum class crash_proof : std::uint8_t;
struct crash_report;
struct crash_history;
struct lost_attempt;
class claim_registry;
class claim_session;
class claim_quorum;
class crash_ledger;
class lost_attempt_tracker;
class recent_responses;
class run_registry;
class retry_budget;
class retry_window;

} // namespace coursejunction

#endif
