/*! @file
 * @brief Declares the types of the run module.
 */
#ifndef COURSEJUNCTION_RUN_FWD_HPP
#define COURSEJUNCTION_RUN_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class admission : std::uint8_t;
enum class attempt_loss : std::uint8_t;
enum class claim_word : std::uint8_t;
enum class crash_standing : std::uint8_t;
enum class end_evidence : std::uint8_t;
enum class end_proof : std::uint8_t;
struct crash_accusation;
struct crash_entry;
struct lost_attempt;
class claim_book;
class claim_session;
class claim_tally;
class crash_ledger;
class crash_witness;
class recent_answers;
class run_registry;
class retry_budget;
class retry_window;

} // namespace coursejunction

#endif
