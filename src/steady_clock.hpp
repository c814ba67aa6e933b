// The process's monotonic clock. Scheduling decisions never read it; they receive the time as an
// argument.
#pragma once

#include "fulmar/types.hpp"

namespace fulmar {

inline time_point steady_now() {
    return std::chrono::time_point_cast<duration>(boot_clock::now());
}

} // namespace fulmar
