/*! @file
 * @brief A configuration that occupies a link for long. */
#ifndef COURSEJUNCTION_TESTS_PROXY_LARGE_CONFIGURATION_HPP
#define COURSEJUNCTION_TESTS_PROXY_LARGE_CONFIGURATION_HPP

#include <cstddef>
#include <random>
#include <string>

namespace proxy_test
{

/*! @brief Returns the payload of a configuration with a version. Its 60 KB
 * cannot be compressed, so that a full link delivers them late. */
inline std::string large_configuration(int version)
{
    constexpr std::size_t random_bytes = 60'000;
    std::minstd_rand random(1);
    std::string payload = std::to_string(version) + " ";
    while (payload.size() < random_bytes)
        payload += static_cast<char>(random() % 256);
    return payload;
}

} // namespace proxy_test

#endif
