#include "coursejunction/daemon/run_daemon.hpp"

int main(int argc, char** argv)
{
    return coursejunction::run_daemon(argc, argv);
}
