/*! @file
 * @brief Stops the process when an invariant is broken.
 */
#ifndef COURSEJUNCTION_CORE_ASSERT_HPP
#define COURSEJUNCTION_CORE_ASSERT_HPP

#include <cstdio>
#include <cstdlib>

/*! @brief Stops the process with a message when a condition does not hold.
 * @warning Only for invariants of the program, never for outside input. */
#define COURSEJUNCTION_ASSERT(condition, message)                              \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n",         \
                         __FILE__, __LINE__, message, #condition);             \
            std::abort();                                                      \
        }                                                                      \
    } while (false)

#endif
