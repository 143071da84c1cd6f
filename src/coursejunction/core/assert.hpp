/*! @file
 * @brief Assertion that stays enabled in release builds.
 */
#ifndef COURSEJUNCTION_CORE_ASSERT_HPP
#define COURSEJUNCTION_CORE_ASSERT_HPP

#include <cstdio>
#include <cstdlib>

/*! @brief Prints a message to standard error and aborts the process if a
 * condition is false.
 * @warning Only for invariants of the program, never to validate input. */
#define COURSEJUNCTION_ASSERT(condition, message)                              \
    do                                                                         \
    {                                                                          \
        if (!(condition))                                                      \
        {                                                                      \
            std::fprintf(stderr, "%s:%d: assertion failed: %s (%s)\n",         \
                         __FILE__, __LINE__, message, #condition);             \
            std::abort();                                                      \
        }                                                                      \
    } while (false)

#endif
