#include <string_view>

#include "coursejunction/daemon/run_daemon.hpp"
#include "platform/run.hpp"

int main(int argc, char** argv)
{
    constexpr std::string_view platform_flag = "--platform";
    if (argc > 1 && argv[1] == platform_flag)
    {
        const bool check = argc > 2 && std::string_view(argv[2]) == "--check";
        const char* path = argc > 2 && !check ? argv[2] : "";
        return coursejunction::platform::run(path, check);
    }
    return coursejunction::run_daemon(argc, argv);
}
