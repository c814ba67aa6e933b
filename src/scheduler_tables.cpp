#include "scheduler_tables.hpp"

#include <array>
#include <cassert>

namespace fulmar {

namespace {

constexpr std::array<std::string_view, 7> phase_names{
    "waiting", "committing_intent", "starting", "running", "evicting", "stopping", "committing"};
static_assert(phase_names.size() == static_cast<std::size_t>(task_phase::committing) + 1);

} // namespace

std::string_view to_string(task_phase phase) {
    return phase_names.at(static_cast<std::size_t>(phase));
}

void set_phase(cell_tables& tables, task_row& task, task_phase phase, std::size_t worker) {
    if (holds_resources(task.phase) && task.worker != no_worker) {
        auto& from = tables.workers.at(task.worker);
        from.committed = from.committed - task.need;
    }
    task.phase = phase;
    task.worker = worker;
    if (holds_resources(phase) && worker != no_worker) {
        auto& to = tables.workers.at(worker);
        to.committed = to.committed + task.need;
    }
}

void check_capacity(const cell_tables& tables) {
    std::vector<resources> sums(tables.workers.size());
    for (const auto& [id, task] : tables.tasks) {
        if (holds_resources(task.phase) && task.worker != no_worker) {
            sums.at(task.worker) = sums.at(task.worker) + task.need;
        }
    }
    for (std::size_t i = 0; i < sums.size(); ++i) {
        assert(sums.at(i) == tables.workers.at(i).committed);
    }
}

} // namespace fulmar
