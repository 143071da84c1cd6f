/* Loaded into the processes of a soak: lets the clocks that go on while an
 * instance is suspended jump, as after a resume, relative to the steady one.
 * The time that the instance was suspended is in a file, in microseconds. */
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace
{

using clock_call = int (*)(clockid_t, timespec*);

/* Null where no file is named: then nothing is changed. */
const volatile std::int64_t* open_jump()
{
    const char* path = std::getenv("SUSPENDED_MICROSECONDS");
    const int file = path == nullptr ? -1 : ::open(path, O_RDONLY);
    if (file < 0)
        return nullptr;
    void* at =
        ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return at == MAP_FAILED ? nullptr
                            : static_cast<const volatile std::int64_t*>(at);
}

} // namespace

extern "C" int clock_gettime(clockid_t which, timespec* read) noexcept
{
    static const auto next =
        reinterpret_cast<clock_call>(::dlsym(RTLD_NEXT, "clock_gettime"));
    static const volatile std::int64_t* const jump = open_jump();
    const int done = next(which, read);
    const bool goes_on = which == CLOCK_BOOTTIME || which == CLOCK_REALTIME;
    if (done != 0 || !goes_on || jump == nullptr)
        return done;
    constexpr std::int64_t second = 1'000'000'000;
    const std::int64_t whole = read->tv_nsec + *jump * 1000;
    read->tv_sec += whole / second;
    read->tv_nsec = whole % second;
    return done;
}
