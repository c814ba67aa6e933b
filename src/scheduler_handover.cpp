#include "scheduler_handover.hpp"

#include "cell_drain.hpp"
#include "steady_clock.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Share of one scheduler in the 6 Mbit/s of the link between regions that moved jobs may use, when
// all 7 entry hosts move jobs at once.
constexpr std::int64_t bytes_per_second = 100'000;
// Bounds the work of one tick.
constexpr int moves_per_tick = 50;

// Lists the cells of other data centres whose state is `in`.
std::vector<cell_id> list_target_cells(const scheduler& self) {
    std::vector<cell_id> targets;
    for (const auto& [cell, data_centre] : self.cell_data_centres) {
        const auto state = self.data_centre_states.find(data_centre);
        const bool accepts_starts =
            state != self.data_centre_states.end() && state->second == data_centre_state::in;
        if (data_centre != self.options.data_centre && accepts_starts) {
            targets.push_back(cell);
        }
    }
    return targets;
}

// Adds the bytes accrued since the last call, up to the amount of one second.
void refill(handover_budget& budget, time_point now) {
    const auto elapsed = std::min<std::int64_t>((now - budget.last_refill).count(), 1'000);
    budget.bytes = std::min(budget.bytes + bytes_per_second * elapsed / 1'000, bytes_per_second);
    budget.last_refill = now;
}

// Plans handovers of jobs to the target cells in round-robin order.
void plan_moves(scheduler& self, cell_state& cell, time_point now) {
    refill(self.handovers, now);
    const auto targets = list_target_cells(self);
    for (int i = 0; i < moves_per_tick && !targets.empty() && self.handovers.bytes > 0; ++i) {
        const auto& target = targets.at(self.handovers.next_target % targets.size());
        const auto used = plan_handover(cell, target, 1, now);
        if (used == 0) {
            return;
        }
        ++self.handovers.next_target;
        self.handovers.bytes -= used;
    }
}

} // namespace

void run_handovers(scheduler& self, store_client& store, cell_state& cell, time_point now) {
    if (cell.claim_revision.value == 0) {
        return;
    }
    plan_moves(self, cell, now);
    for (auto& write : collect_handovers(cell, now)) {
        self.commits.post([&self, &store, id = cell.id, write = std::move(write)] {
            const auto written = write_and_confirm(store, write);
            self.queue.post([&self, id, job = job_id{write.key.substr(jobs_prefix.size())},
                             written] { on_handover_written(self.cells.at(id), job, written); });
        });
    }
}

} // namespace fulmar
