/*! @file
 * @brief Claims of requests that may run once, as a side makes them.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RUN_CLAIMS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RUN_CLAIMS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/control/key_value_client.hpp"
#include "coursejunction/daemon/internal/replicated_claims.hpp"
#include "coursejunction/run/claim_session.hpp"

namespace coursejunction::internal
{

/*! @brief What became of a claim. */
enum class claim_result : std::uint8_t
{
    won,    /*!< The request may start here, nowhere else. */
    lost,   /*!< Another side has it. */
    unknown /*!< It is not known who has it; it does not start now. */
};

/*! @brief Claims a request in the key-value service, then with its keepers;
 * only both together let it start. */
class run_claims
{
public:
    using done_callback = std::function<void(claim_result)>;

    /*! @param remembered Requests that the side remembers. */
    run_claims(node& owner, std::size_t remembered);

    void claim(const request_id& request, done_callback done);

    /*! @brief Takes a frame of claims.
     * @return Whether it was one. */
    bool handle_frame(const instance_id& from, const frame& one);

    void peer_lost(const instance_id& peer);

private:
    struct attempt
    {
        request_id request;
        done_callback done;
        unsigned tries{0};
        timer retry;
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    void acquire(const attempt_pointer& one);
    void open_session(const attempt_pointer& one);
    void acquired(const attempt_pointer& one, const std::string& used,
                  swap_outcome end);
    void acquire_later(const attempt_pointer& one);
    void note(const attempt_pointer& one, const std::string& used);

    node& host;
    replicated_claims notes;
    claim_session session;
};

} // namespace coursejunction::internal

#endif
