#include "cell_choice.hpp"

#include "fulmar/records.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Returns whether the capacity of every worker is known. A worker that has not answered yet may be
// the only one that is large enough.
bool capacities_known(const cell_summary& cell) {
    return !cell.capacity.empty() && cell.capacity.size() == cell.workers;
}

bool any_worker_fits(const cell_summary& cell, const resources& need) {
    return std::any_of(cell.capacity.begin(), cell.capacity.end(),
                       [&](const resources& capacity) { return fits(need, capacity); });
}

// Returns how many tasks with this need fit into the free resources, at most `limit`.
std::int64_t count_fitting(const resources& need, const resources& free, std::int64_t limit) {
    std::int64_t count = limit;
    const auto consider = [&](std::int64_t needed, std::int64_t available) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(available, 0) / needed);
        }
    };
    consider(need.processors.value, free.processors.value);
    consider(need.memory.value, free.memory.value);
    consider(need.accelerators.value, free.accelerators.value);
    return count;
}

// Sort key of a cell: first the number of the job's tasks that could start now, then the free
// processors. Jobs that several cells could start entirely are thus spread over those cells.
std::pair<std::int64_t, std::int64_t> free_room_rank(const cell_summary& cell,
                                                     const job_record& job) {
    std::int64_t tasks = 0;
    std::int64_t processors = 0;
    for (const auto& free : cell.free) {
        tasks += count_fitting(job.need, free, job.tasks);
        processors += free.processors.value;
    }
    return {std::min<std::int64_t>(tasks, job.tasks), processors};
}

error too_large() {
    return {error_kind::capacity_exceeded, "need: no worker could hold a task of this size"};
}

} // namespace

result<cell_candidates> collect_cell_candidates(store_client& store,
                                                const status_fetcher& fetch_status) {
    BOOST_OUTCOME_TRY(members, store.list(std::string(members_prefix)));
    BOOST_OUTCOME_TRY(states, store.list(std::string(data_centres_prefix)));
    cell_candidates candidates;
    for (const auto& entry : states.entries) {
        const auto record = parse_data_centre_record(entry.value);
        if (record && record.value().state == data_centre_state::in) {
            candidates.accepting_starts.insert({entry.key.substr(data_centres_prefix.size())});
        }
    }
    std::size_t queried = 0;
    std::size_t answered = 0;
    for (const auto& entry : members.entries) {
        const auto member = parse_member_record(entry.value);
        if (!member || member.value().program != "fulmar_scheduler") {
            continue;
        }
        ++queried;
        const auto status = fetch_status(member.value().address);
        if (!status) {
            continue;
        }
        ++answered;
        for (auto& cell : parse_cell_summaries(status.value())) {
            // Every scheduler of a data centre lists its cells, but only the owner has their free
            // resources.
            if (cell.claimed) {
                candidates.cells.push_back(std::move(cell));
            }
        }
    }
    candidates.complete = queried > 0 && queried == answered;
    return candidates;
}

result<cell_id> choose_cell(const job_record& job, const cell_candidates& candidates) {
    if (!job.cell.value.empty()) {
        for (const auto& cell : candidates.cells) {
            if (cell.id == job.cell && capacities_known(cell) && !any_worker_fits(cell, job.need)) {
                return too_large();
            }
        }
        return job.cell;
    }
    const cell_summary* best = nullptr;
    bool fits_somewhere = false;
    bool all_capacities_known = candidates.complete && !candidates.cells.empty();
    for (const auto& cell : candidates.cells) {
        all_capacities_known = all_capacities_known && capacities_known(cell);
        if (!any_worker_fits(cell, job.need)) {
            continue;
        }
        fits_somewhere = true;
        if (candidates.accepting_starts.contains(cell.data_centre) &&
            (best == nullptr || free_room_rank(cell, job) > free_room_rank(*best, job))) {
            best = &cell;
        }
    }
    if (best != nullptr) {
        return best->id;
    }
    if (!fits_somewhere && all_capacities_known) {
        return too_large();
    }
    return error{error_kind::unavailable,
                 fits_somewhere ? "no data centre that accepts starts has a worker of this size"
                                : "cell: no cell is known that could hold the job; name one, or "
                                  "retry when the schedulers are reachable"};
}

} // namespace fulmar
