// The workers of a shard by what distinguishes them for placement: labels and resources. Owners
// publish them, so that other hosts can tell whether a task may run there at all and has room now.
#pragma once

#include "fulmar/job.hpp"
#include "fulmar/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

// Workers of one service with the same labels, apart from those of their racks. Of their capacities
// and of their free resources only those are listed that aren't less than another one's in
// everything.
struct worker_class {
    std::vector<std::string> labels;
    bool other_labels = false;       // there are more that aren't listed
    std::int64_t workers = 0;        // in use, without those that leave
    std::vector<resources> capacity; // of these
    std::vector<resources> free;     // of those that get starts now
    resources total_free{};          // sum over these
};

// Returns what a task of a step takes of a worker's resources: fillers use processors that others
// leave idle.
resources counted_need(const step_spec& step);

// Returns how many tasks with this need fit into an amount of resources.
std::int64_t count_fitting(const resources& need, const resources& amount);

// Adds a worker that is in use; one that gets starts now also offers its free resources.
worker_class& add_worker(std::vector<worker_class>& classes, const std::vector<std::string>& labels,
                         const rack_id& rack, const resources& capacity);
void add_free(worker_class& workers, const resources& free);

// Limits what is published to so many classes, and what is listed of each. A limit never hides what
// could run: classes and capacities beyond it are joined, and labels count as present. Some of the
// free resources are left out.
void limit_classes(std::vector<worker_class>& classes, std::size_t limit);

// Returns whether tasks of the step could run on the workers if these ran nothing else: one task,
// or all members of a gang at the same time. The shard's racks count as labels. May be wrong for
// limited classes and for steps that require a rack, but only in that they can't run.
bool could_run(const std::vector<worker_class>& classes, const std::vector<rack_id>& racks,
               const step_spec& step);

// Returns how many tasks of the step there may be room for now: by the sum of free resources, but
// none if no worker has room for one. `present` tasks of the step count towards its spread limit.
std::size_t count_room_for(const std::vector<worker_class>& classes,
                           const std::vector<rack_id>& racks, const step_spec& step,
                           std::size_t present);

// Subtracts tasks that were given room.
void deduct_tasks(std::vector<worker_class>& classes, const std::vector<rack_id>& racks,
                  const step_spec& step, std::size_t tasks);

} // namespace fulmar
