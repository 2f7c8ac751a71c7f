#include "Ops/ProcessExit.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace firefly {

void exitProcess(int code)
{
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    std::quick_exit(code);
}

} // namespace firefly
