#include <malloc.h>

#include <string_view>

#include "coursejunction/daemon/run_daemon.hpp"
#include "platform/run.hpp"

namespace
{

/*! @brief Lets memory that was freed return to the system, as the memory of an
 * instance bounds what the process holds and not what it uses. */
void configure_allocator()
{
    // Free blocks in fast bins are not merged, so that the many small ones of a
    // request's fields split the heap.
    ::mallopt(M_MXFAST, 0);
    // A fixed threshold: by default it rises with the size of freed blocks up
    // to 32 MiB, and large bodies then come from the heap.
    constexpr int mapped_bytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapped_bytes);
}

} // namespace

int main(int argc, char** argv)
{
    configure_allocator();
    constexpr std::string_view platform_flag = "--platform";
    if (argc > 1 && argv[1] == platform_flag)
    {
        const bool check = argc > 2 && std::string_view(argv[2]) == "--check";
        const char* path = argc > 2 && !check ? argv[2] : "";
        return coursejunction::platform::run(path, check);
    }
    return coursejunction::run_daemon(argc, argv);
}
