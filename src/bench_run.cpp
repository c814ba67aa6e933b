#include "bench_run.hpp"

#include "interference.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace fulmar::bench {

namespace {

struct measurement {
    run_result result;
    XXH64_state_t* hash = nullptr;
    allocation_counter allocated = nullptr;
    std::uint64_t bytes_before = 0;
    std::chrono::steady_clock::time_point start_time;
};

void add_to_hash(measurement& into, const world& self, std::size_t cell, int kind,
                 const cell_task& task, std::size_t worker) {
    const std::array<std::uint64_t, 5> words{static_cast<std::uint64_t>(self.step), cell,
                                             static_cast<std::uint64_t>(kind), task.id.index,
                                             worker};
    XXH64_update(into.hash, words.data(), sizeof(words));
    XXH64_update(into.hash, task.id.job.value.data(), task.id.job.value.size());
}

void begin_timing(measurement& into) {
    into.bytes_before = into.allocated();
    into.start_time = std::chrono::steady_clock::now();
}

// Returns the seconds since begin_timing. After the warm-up, adds the time and the allocated bytes
// to the totals.
double end_timing(measurement& into, const world& self) {
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - into.start_time;
    if (self.step >= self.events.warm_up) {
        into.result.policy_s += took.count();
        into.result.policy_bytes += into.allocated() - into.bytes_before;
    }
    return took.count();
}

constexpr int interference_kind = 3;

void evict(world& self, std::size_t cell, cell_task& task, int kind, measurement& into) {
    auto& tables = self.cells[cell].tables;
    add_to_hash(into, self, cell, kind, task, task.worker);
    set_phase(tables, task, task_phase::evicting, task.worker);
    if (self.step >= self.events.warm_up) {
        ++(kind == interference_kind ? self.totals.evictions_interference
                                     : self.totals.evictions_urgent);
    }
}

void apply_decision(world& self, std::size_t index, const decision& chosen, measurement& into) {
    auto& cell = self.cells[index];
    auto& task = *chosen.task;
    add_to_hash(into, self, index, static_cast<int>(chosen.kind), task, chosen.worker);
    switch (chosen.kind) {
    case decision_kind::start:
        set_phase(cell.tables, task, task_phase::starting, chosen.worker);
        record_placed(cell.tables, task, cell.tables.now);
        break;
    case decision_kind::evict:
        record_decision(self, cell, task);
        for (auto* victim : chosen.evictions) {
            evict(self, index, *victim, static_cast<int>(chosen.kind), into);
        }
        break;
    case decision_kind::refuse:
        record_refusal(self, cell, job_id(task.id.job));
        break;
    }
}

// Runs one placement round of a cell if it is due. The benchmark's own bookkeeping is not timed.
void run_round(world& self, std::size_t index, measurement& into) {
    auto& cell = self.cells[index];
    const auto now = cell.tables.now;
    std::vector<cell_task*> started;
    begin_timing(into);
    if (round_is_due(cell.tables, now)) {
        ++into.result.rounds;
        auto order = rank_waiting(cell.tables, now);
        while (const auto chosen = next_decision(cell.tables, order, now)) {
            apply_decision(self, index, *chosen, into);
            if (chosen->kind == decision_kind::start) {
                started.push_back(chosen->task);
            }
        }
    }
    const double took = end_timing(into, self);
    into.result.longest_tick_s = std::max(into.result.longest_tick_s, took);
    for (auto* task : started) {
        record_started(self, cell, *task);
    }
}

void run_cell(world& self, std::size_t index, const policy_variant& variant, measurement& into) {
    auto& cell = self.cells[index];
    cell.tables.now = time_of_step(self.step);
    const auto now = cell.tables.now;
    const auto samples = collect_samples(self, cell);
    if (variant.oracle) {
        set_true_effects(self, cell);
    }
    const bool responds = variant.options.kind == placement_kind::full;
    begin_timing(into);
    if (responds && !variant.oracle) {
        for (const auto& [worker, list] : samples) {
            apply_usage(cell.tables, worker, list, now);
        }
    }
    if (responds) {
        for (auto* task : update_responses(cell.tables, now)) {
            evict(self, index, *task, interference_kind, into);
        }
    }
    end_timing(into, self);
    if (accepts_starts(self, cell)) {
        run_round(self, index, into);
    }
}

} // namespace

run_result run_variant(const world_size& size, const world_events& events,
                       const policy_variant& variant, std::uint64_t seed,
                       allocation_counter allocated) {
    measurement into;
    into.allocated = allocated;
    into.hash = XXH64_createState();
    XXH64_reset(into.hash, seed);
    auto self = make_world(size, events, variant.options, seed);
    for (self.step = 1; self.step < events.steps; ++self.step) {
        submit_arrivals(self);
        advance(self);
        for (std::size_t i = 0; i < self.cells.size(); ++i) {
            run_cell(self, i, variant, into);
        }
    }
    finish(self);
    for (const auto& cell : self.cells) {
        check_capacity(cell.tables);
        for (const auto& [id, task] : cell.tables.tasks) {
            ++(task.phase == task_phase::waiting ? into.result.waiting : into.result.running);
        }
    }
    into.result.totals = std::move(self.totals);
    into.result.signature = XXH64_digest(into.hash);
    XXH64_freeState(into.hash);
    into.result.simulated_s =
        static_cast<double>((events.steps - events.warm_up) * step_length.count()) / 1'000.0;
    return into.result;
}

double percentile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0.0;
    }
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(at));
    return values[at];
}

double slowdown_percentile(const world_totals& totals, double part) {
    const auto& histogram = totals.slowdown_histogram;
    const auto all = std::accumulate(histogram.begin(), histogram.end(), std::uint64_t{0});
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogram.size(); ++i) {
        below += histogram.at(i);
        if (static_cast<double>(below) >= part * static_cast<double>(all)) {
            return 1.0 + static_cast<double>(i) / 100.0;
        }
    }
    return 1.0;
}

double mean_slowdown(const world_totals& totals) {
    return totals.slowdown_samples == 0
               ? 1.0
               : totals.slowdown_sum / static_cast<double>(totals.slowdown_samples);
}

} // namespace fulmar::bench
