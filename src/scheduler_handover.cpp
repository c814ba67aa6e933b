#include "scheduler_handover.hpp"

#include "cell_drain.hpp"
#include "steady_clock.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Share of one scheduler in the 6 Mbit/s that moved work may take of the link between regions, when
// all 7 entry hosts move jobs at once.
constexpr std::int64_t bytes_per_second = 100'000;
// Bounds the decisions of one tick.
constexpr int moves_per_tick = 50;

// Lists the cells of other data centres that take starts.
std::vector<cell_id> list_targets(const scheduler& self) {
    std::vector<cell_id> targets;
    for (const auto& [cell, home] : self.cell_homes) {
        const auto state = self.data_centre_states.find(home);
        const bool open =
            state != self.data_centre_states.end() && state->second == data_centre_state::in;
        if (home != self.options.data_centre && open) {
            targets.push_back(cell);
        }
    }
    return targets;
}

// Adds what has accrued since the last call, up to one second's worth.
void refill(handover_budget& budget, time_point now) {
    const auto elapsed = std::min<std::int64_t>((now - budget.filled).count(), 1'000);
    budget.bytes = std::min(budget.bytes + bytes_per_second * elapsed / 1'000, bytes_per_second);
    budget.filled = now;
}

// Marks jobs for other cells, one after another in turn.
void plan_moves(scheduler& self, cell_state& cell, time_point now) {
    refill(self.handovers, now);
    const auto targets = list_targets(self);
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
            const auto written = write_and_settle(store, write);
            self.queue.post([&self, id, job = job_id{write.key.substr(jobs_prefix.size())},
                             written] { on_handover_written(self.cells.at(id), job, written); });
        });
    }
}

} // namespace fulmar
