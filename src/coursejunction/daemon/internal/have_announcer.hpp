/*! @file
 * @brief Tells peers which chunks are held here.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_HAVE_ANNOUNCER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_HAVE_ANNOUNCER_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/chunk_store.hpp"

namespace coursejunction::internal
{

/*! @brief Keeps who is to hear of the chunks of the wanted version, and tells
 * them in small batches. */
class have_announcer
{
public:
    /*! @brief Sends a list of held chunks to a peer. */
    using send_callback =
        std::function<void(const instance_id&, std::vector<chunk_index>)>;

    explicit have_announcer(send_callback call);

    /*! @brief Sets whom this instance makes itself known to. */
    void neighbours(std::set<instance_id> chosen);

    /*! @brief Makes this instance known to its neighbours, with everything
     * it holds; they answer in kind. */
    void greet(const chunk_store& chunks) const;

    /*! @brief Counts a peer as one that wants to hear what is held here; a
     * new one is told everything.
     * @param near Whether it is in the own hall. */
    void listen(const instance_id& peer, bool near, const chunk_store& chunks);

    /*! @brief Notes that a peer asked for a chunk. */
    void asked(time_point now) { asked_at = now; }

    /*! @brief Notes a chunk that nobody has been told of. */
    void added(chunk_index chunk) { fresh.push_back(chunk); }

    /*! @brief Tells listeners of the own hall what is new, in small batches,
     * and those of other halls more slowly: they only need signs of life. */
    void tell(const chunk_store& chunks, time_point now);

    /*! @brief Forgets a listener whose connection is gone. */
    void peer_lost(const instance_id& peer) { listeners.erase(peer); }

    /*! @brief Forgets everybody: the version is no longer wanted. */
    void stop();

    [[nodiscard]] std::size_t listener_count() const;
    [[nodiscard]] std::size_t neighbour_count() const;

private:
    void tell_near();
    void tell_all(const chunk_store& chunks, time_point now);
    void note_unheard();

    send_callback send;
    std::set<instance_id> known;
    std::map<instance_id, bool> listeners; /*!< Whether in the own hall. */
    std::vector<chunk_index> fresh;        /*!< Not yet told to anybody. */
    std::vector<chunk_index> unheard;      /*!< Not yet told to other halls. */
    time_point told_near{};
    time_point told_far{};
    time_point asked_at{};
};

} // namespace coursejunction::internal

#endif
