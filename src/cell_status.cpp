#include "cell_status.hpp"

#include <algorithm>

namespace fulmar {

namespace {

struct job_tasks {
    std::map<std::string, int> phases;
    std::map<std::string, int> waits; // by reason
    std::map<std::string, int> workers;
    std::int64_t longest_wait_ms = 0;
};

json describe_job(const job_progress& progress, const job_tasks& tasks) {
    return {{"finished", progress.finished.size()},
            {"parked", progress.parked.size()},
            {"unknown", progress.outcome_unknown.size()},
            {"cancelled", progress.cancelled.size()},
            {"phases", tasks.phases},
            {"waits", tasks.waits},
            {"workers", tasks.workers},
            {"longest_wait_ms", tasks.longest_wait_ms}};
}

void add_task(job_tasks& job, const cell_tables& tables, const cell_task& task, time_point now) {
    ++job.phases[std::string(to_string(task.phase))];
    if (task.phase == task_phase::waiting) {
        ++job.waits[std::string(task.wait_reason)];
        job.longest_wait_ms =
            std::max(job.longest_wait_ms, std::int64_t{(now - task.waiting_since).count()});
    }
    if (task.worker != no_worker) {
        ++job.workers[tables.workers.at(task.worker).id.value];
    }
}

// Returns whether new tasks may be placed on a worker now.
bool is_usable(const cell_worker& worker, time_point now) {
    return worker.inventoried && !(worker.quarantined_until && now < *worker.quarantined_until);
}

} // namespace

json describe_cell(const cell_state& cell, time_point now) {
    // Step 1: count the tasks that have not ended, by job.
    std::map<std::string, int> phases;
    std::map<job_id, job_tasks> jobs;
    for (const auto& [id, task] : cell.tables.tasks) {
        ++phases[std::string(to_string(task.phase))];
        add_task(jobs[id.job], cell.tables, task, now);
    }

    // Step 2: add the tasks that have ended.
    json described = json::object();
    for (const auto& [id, progress] : cell.progress.jobs) {
        described[id.value] = describe_job(progress, jobs[id]);
    }
    for (const auto& [id, tasks] : jobs) {
        if (!described.contains(id.value)) {
            described[id.value] = describe_job({}, tasks);
        }
    }

    // Step 3: list the free resources and capacity of the workers.
    json free = json::array();
    json capacity = json::array();
    for (const auto& worker : cell.tables.workers) {
        if (worker.capacity != resources{}) {
            capacity.push_back(worker.capacity);
        }
        if (is_usable(worker, now)) {
            free.push_back(worker.capacity - worker.committed);
        }
    }
    return {{"epoch", cell.epoch},
            {"claimed", cell.claim_revision.value != 0},
            {"workers", cell.tables.workers.size()},
            {"data_centre", cell.data_centre},
            {"state", to_string(cell.state)},
            {"tasks", phases},
            {"jobs", std::move(described)},
            {"free", std::move(free)},
            {"capacity", std::move(capacity)}};
}

std::vector<cell_summary> parse_cell_summaries(const json& status) {
    std::vector<cell_summary> found;
    try {
        for (const auto& [id, cell] : status.at("cells").items()) {
            // A scheduler of an earlier version doesn't publish resources.
            if (!cell.contains("free") || !cell.contains("capacity")) {
                continue;
            }
            found.push_back({cell_id{id}, cell.at("data_centre").get<data_centre_id>(),
                             cell.at("claimed").get<bool>(), cell.at("workers").get<std::size_t>(),
                             cell.at("free").get<std::vector<resources>>(),
                             cell.at("capacity").get<std::vector<resources>>()});
        }
    } catch (const json::exception&) {
        return found;
    }
    return found;
}

} // namespace fulmar
