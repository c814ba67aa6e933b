// When a job counts as begun.
#pragma once

#include "shard_tables.hpp"

namespace fulmar {

// Notes that a run of one of the job's tasks has begun. A start that got no reply doesn't show
// that.
inline void mark_begun(job_row& job) {
    if (job.phase == job_phase::queued) {
        job.phase = job_phase::running;
    }
}

} // namespace fulmar
