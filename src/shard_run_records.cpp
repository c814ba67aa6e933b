#include "shard_run_records.hpp"

namespace fulmar {

namespace {

// Finds the task of a row; nullptr for those of loans that have ended.
task_row* find_recorded_task(job_row& job, const json& row) {
    const auto occurrence = job.occurrences.find(row.at(0).get<std::uint32_t>());
    const auto step = row.at(1).get<std::size_t>();
    const auto index = row.at(2).get<std::size_t>();
    const bool known = occurrence != job.occurrences.end() &&
                       step < occurrence->second.stages.size() &&
                       index < occurrence->second.stages[step].tasks.size();
    return known ? &occurrence->second.stages[step].tasks[index] : nullptr;
}

} // namespace

void append_parking(json& row, const task_row& task) {
    if (task.parked) {
        row.push_back(task.waiting_since);
        row.push_back(task.parked_by);
    }
}

void decode_parking(const json& row, task_row& task) {
    constexpr std::size_t position = 5;
    if (row.size() > position + 1) {
        task.parked = true;
        task.waiting_since = row.at(position).get<unix_time>();
        task.parked_by = row.at(position + 1).get<epoch_number>();
    }
}

json encode_recorded_runs(const job_row& job) {
    json rows = json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                const auto& task = stage.tasks[index];
                if (task.recorded_on && task.planned_on.empty()) {
                    rows.push_back(
                        {number, stage.step, index, *task.recorded_on, task.recorded_by});
                }
            }
        }
    }
    return rows;
}

json encode_planned_starts(const job_row& job) {
    json rows = json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                const auto& task = stage.tasks[index];
                if (!task.planned_on.empty()) {
                    rows.push_back({number, stage.step, index,
                                    task.recorded_on ? json(*task.recorded_on) : json(),
                                    task.recorded_by, task.planned_on});
                }
            }
        }
    }
    return rows;
}

void decode_recorded_runs(job_row& job, const json& record) {
    const auto none = json::array();
    for (const auto& row : record.contains("recorded") ? record.at("recorded") : none) {
        if (auto* task = find_recorded_task(job, row); task != nullptr) {
            task->recorded_on = row.at(3).get<worker_id>();
            task->recorded_by = row.at(4).get<epoch_number>();
        }
    }
    for (const auto& row : record.contains("planned") ? record.at("planned") : none) {
        auto* task = find_recorded_task(job, row);
        if (task == nullptr) {
            continue;
        }
        if (!row.at(3).is_null()) {
            task->recorded_on = row.at(3).get<worker_id>();
        }
        task->recorded_by = row.at(4).get<epoch_number>();
        task->planned_on = row.at(5).get<std::set<worker_id>>();
    }
}

} // namespace fulmar
