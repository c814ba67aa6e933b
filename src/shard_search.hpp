// Memory of failed searches for room. Room on a worker only grows if the worker changes, so a
// search that failed is repeated only on the workers whose room grew since.
#pragma once

#include "fulmar/job.hpp"
#include "fulmar/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

// What decides whether any waiting task fits on a worker. Rounds compare it with the previous
// round's, so that no code that changes a worker has to report the change.
struct room_view {
    bool accepts = false;    // see accepts_starts
    resources free;          // for tasks that aren't fillers
    resources long_running;  // see long_running_room
    std::int64_t filler = 0; // processors that further fillers may use
    bool alone = false;      // no filler runs there
    bool serves = false;     // serving tasks run there
    std::uint64_t releases = 0;
    time_point measured; // time of the last measurements
    service_id service;
    std::vector<std::string> labels;

    // Numbers of the last changes after which tasks, or only fillers, may fit that didn't before.
    std::uint64_t grown = 0;
    std::uint64_t filler_grown = 0;
};

// A need for which no worker had room.
struct failed_search {
    resources need;
    // Highest pace predicted for a filler on a worker where it fits; -1: it fits on none.
    double best_pace = -1;
    std::uint64_t change = 0; // number of the last change that the search included
    time_point complete;      // when all workers were compared
};

// Failed searches of the steps with the same conditions on the worker.
struct search_class {
    service_id service;
    std::string label;
    bool filler = false;
    std::string image; // of fillers
    std::vector<failed_search> failed;
};

struct search_memory {
    std::uint64_t change = 0; // rises with each change of a worker that may give room
    std::vector<search_class> classes;
    time_point next_complete_round;
};

// Returns the failed search that covers most changes among those that answer for a need: what needs
// as much or more, at the same pace or a higher one, fits on none of the workers that haven't
// changed since. Returns nullptr if there is none.
const failed_search* find_failed(const search_memory& memory, const service_id& service,
                                 const step_spec& step, double min_pace);

// Records a failed search.
void record_failed(search_memory& memory, const service_id& service, const step_spec& step,
                   const failed_search& failed);

// Removes the searches that are to be repeated on all workers.
void expire_failed(search_memory& memory, time_point now);

// Replaces a worker's view, and numbers the change if tasks may fit now that didn't before.
void update_view(search_memory& memory, room_view& view, room_view next);

} // namespace fulmar
