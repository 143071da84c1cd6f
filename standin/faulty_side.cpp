/*! @file
 * @brief A side process that always sends wrong chunks: the daemon with a
 * filter that the product does not have.
 */
#include "coursejunction/daemon/run_daemon.hpp"

int main(int argc, char** argv)
{
    return coursejunction::run_daemon(
        argc, argv,
        [](std::string& chunk)
        {
            if (!chunk.empty())
                chunk[chunk.size() / 2] =
                    static_cast<char>(chunk[chunk.size() / 2] ^ 1);
        });
}
