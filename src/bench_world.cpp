#include "bench_world.hpp"

#include "quarantine.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace fulmar::bench {

namespace {

constexpr double step_s = static_cast<double>(step_length.count()) / 1'000.0;
constexpr std::int64_t steps_per_second = 1'000 / step_length.count();
constexpr std::int64_t sync_steps = 2 * steps_per_second;
constexpr std::int64_t sample_lag_steps = 3 * steps_per_second;
constexpr std::int64_t checkpoint_steps = 12; // from an eviction to its reported checkpoint
constexpr double restart_cost_s = 3.0;        // run time lost by an eviction

// Returns the true slowdown of one service class on a worker: free of sample noise, but with the
// worker's present noise wave.
double true_slowdown(const world& self, const world_worker& worker, const resources& capacity,
                     const cell_tables& tables, std::size_t service) {
    std::array<double, batch_classes> load{};
    for (const auto& task : worker.tasks) {
        const auto index = task.row->class_index;
        if (!is_running(task.row->phase) || tables.classes[index].latency_critical) {
            continue;
        }
        load.at(index - service_classes) += static_cast<double>(task.row->need.processors.value) *
                                            static_cast<double>(task.row->share) / 100.0 *
                                            self.jobs[task.job].use_factor;
    }
    // The load of the services varies with a period of two minutes and scales the effect that batch
    // tasks have on them.
    const double phase = 2.0 * std::numbers::pi * static_cast<double>(self.step) /
                         static_cast<double>(120 * steps_per_second);
    const double shift = 1.0 + 0.25 * std::sin(phase + static_cast<double>(service));
    double sum = 1.0 + worker.slowdown_noise;
    for (std::size_t b = 0; b < batch_classes; ++b) {
        sum += self.effect.at(service).at(b) * shift * load.at(b) /
               static_cast<double>(capacity.processors.value);
    }
    return sum;
}

bool measured(const world& self) {
    return self.step >= self.events.warm_up;
}

bool in_outage_window(const world& self) {
    return self.step >= self.events.leave_step &&
           self.step < self.events.return_step + (self.events.return_step - self.events.leave_step);
}

void count_work(world& self, double amount) {
    if (!measured(self)) {
        return;
    }
    self.totals.batch_work += amount;
    self.totals.window_work += in_outage_window(self) ? amount : 0.0;
}

// Deletes a task that won't run again, and its job when no other task is left.
void end_task(world& self, cell_tables& tables, cell_task& task, std::size_t job) {
    auto& row = self.jobs[job];
    --row.unfinished;
    const auto id = task.id;
    if (row.unfinished == 0) {
        const auto& record = tables.jobs.at(id.job).record;
        if (record.deadline_unix_ms > 0 && !row.cancelled) {
            ++self.totals.deadlines;
            self.totals.deadlines_met +=
                time_of_step(self.step).time_since_epoch().count() <= record.deadline_unix_ms ? 1
                                                                                              : 0;
        }
    }
    tables.tasks.erase(id);
    if (row.unfinished == 0) {
        tables.waiting.erase(id.job);
        tables.jobs.erase(id.job);
    }
}

void withdraw_charges(cell_tables& tables, cell_worker& worker) {
    for (const auto& id : worker.charged_failures) {
        const auto task = tables.tasks.find(id);
        if (task != tables.tasks.end()) {
            std::erase(task->second.failed_workers, worker.id);
        }
    }
    worker.charged_failures.clear();
}

void fail_task(world& self, world_cell& cell, const running_task& task) {
    auto& row = *task.row;
    const std::size_t index = row.worker;
    row.end_state = task_state::failed;
    set_phase(cell.tables, row, task_phase::committing, index);
    auto& worker = cell.tables.workers[index];
    const bool was_quarantined =
        worker.quarantined_until && time_of_step(self.step) < *worker.quarantined_until;
    if (record_failure(cell.tables, index, row, time_of_step(self.step))) {
        self.totals.quarantines += was_quarantined ? 0 : 1;
        self.totals.healthy_quarantines +=
            was_quarantined || cell.workers[index].fails_all_starts ? 0 : 1;
        withdraw_charges(cell.tables, worker);
    }
    if (row.failed_workers.size() >= failures_before_parking) {
        ++self.totals.parked;
        self.totals.wrongly_parked += self.jobs[task.job].always_fails ? 0 : 1;
        end_task(self, cell.tables, row, task.job);
        return;
    }
    row.waiting_since = time_of_step(self.step);
    set_phase(cell.tables, row, task_phase::waiting, no_worker);
}

void finish_task(world& self, world_cell& cell, const running_task& task) {
    auto& row = *task.row;
    const std::size_t worker = row.worker;
    row.end_state = task_state::finished;
    set_phase(cell.tables, row, task_phase::committing, worker);
    record_success(cell.tables, worker, row);
    ++self.totals.finished;
    end_task(self, cell.tables, row, task.job);
}

void checkpoint_task(world& self, world_cell& cell, const running_task& task) {
    auto& row = *task.row;
    row.checkpoint = "c";
    row.waiting_since = time_of_step(self.step);
    self.jobs[task.job].remaining[row.id.index] = task.remaining_s + restart_cost_s;
    count_work(self, -restart_cost_s * static_cast<double>(row.need.processors.value) / 1'000.0);
    set_phase(cell.tables, row, task_phase::waiting, no_worker);
}

// Marks a starting task as running at its worker. Records how long an urgent task waited for it.
void begin_task(world& self, world_cell& cell, running_task& task) {
    auto& row = *task.row;
    set_phase(cell.tables, row, task_phase::running, row.worker);
    const auto& record = cell.tables.jobs.at(row.id.job).record;
    if (record.urgent && row.attempt.value == 1 && measured(self)) {
        const auto waited = self.step - self.jobs[task.job].submitted;
        self.totals.urgent_running_s.push_back(static_cast<double>(waited) * step_s);
    }
}

enum class task_event : std::uint8_t { none, finish, fail, checkpoint, stop };

// Advances one task by a step and returns the event that ends its run on this worker, if any.
task_event advance_task(world& self, world_cell& cell, const world_worker& worker,
                        running_task& task) {
    auto& row = *task.row;
    if (row.phase == task_phase::starting) {
        if (self.step >= task.starts_at) {
            begin_task(self, cell, task);
        }
        return task_event::none;
    }
    const auto& job = self.jobs[task.job];
    if (job.cancelled) {
        return task_event::stop;
    }
    const bool service = cell.tables.classes[row.class_index].latency_critical;
    // A faulty worker fails each task right after its start; tasks that ran before keep running.
    const bool just_started = self.step - task.starts_at <= 2;
    if (just_started && (worker.fails_all_starts || job.always_fails)) {
        return task_event::fail;
    }
    if (row.phase == task_phase::evicting) {
        if (task.evicted_at < 0) {
            task.evicted_at = self.step;
        }
        return self.step - task.evicted_at >= checkpoint_steps ? task_event::checkpoint
                                                               : task_event::none;
    }
    if (service) {
        return task_event::none;
    }
    const double done = std::min(task.remaining_s, step_s * static_cast<double>(row.share) / 100.0);
    task.remaining_s -= done;
    count_work(self, done * static_cast<double>(row.need.processors.value) / 1'000.0);
    return task.remaining_s <= 1e-9 ? task_event::finish : task_event::none;
}

void advance_worker(world& self, world_cell& cell, world_worker& worker) {
    std::size_t kept = 0;
    for (std::size_t i = 0; i < worker.tasks.size(); ++i) {
        auto task = worker.tasks[i];
        const auto event = advance_task(self, cell, worker, task);
        switch (event) {
        case task_event::none:
            worker.tasks[kept++] = task;
            break;
        case task_event::finish:
            finish_task(self, cell, task);
            break;
        case task_event::fail:
            fail_task(self, cell, task);
            break;
        case task_event::checkpoint:
            checkpoint_task(self, cell, task);
            break;
        case task_event::stop:
            ++self.totals.cancelled;
            task.row->end_state = task_state::stopped;
            set_phase(cell.tables, *task.row, task_phase::committing, task.row->worker);
            end_task(self, cell.tables, *task.row, task.job);
            break;
        }
    }
    worker.tasks.resize(kept);
}

// Every 30 s, adds slowdown noise that batch tasks don't cause to each worker with probability 0.3,
// and removes it after 12 s.
void update_noise_waves(world& self) {
    const auto in_wave = self.step % (30 * steps_per_second);
    if (in_wave != 0 && in_wave != 12 * steps_per_second) {
        return;
    }
    for (auto& cell : self.cells) {
        for (auto& worker : cell.workers) {
            const bool hit = in_wave == 0 && next_uniform(self.sample_random) < 0.3;
            worker.slowdown_noise = hit ? 0.3 + 0.3 * next_uniform(self.sample_random) : 0.0;
        }
    }
}

// Adds the true slowdown of the worker's service tasks to the totals. Called once a second. Noise
// waves are left out, because no policy can change them.
void count_slowdown(world& self, const world_cell& cell, std::size_t index) {
    const auto& worker = cell.workers[index];
    const auto& row = cell.tables.workers[index];
    for (const auto& resident : row.resident_classes) {
        if (!cell.tables.classes[resident.index].latency_critical || resident.running == 0) {
            continue;
        }
        const double slowdown =
            true_slowdown(self, worker, row.capacity, cell.tables, resident.index) -
            worker.slowdown_noise;
        const auto count = static_cast<std::uint64_t>(resident.tasks);
        self.totals.slowdown_sum += slowdown * static_cast<double>(count);
        self.totals.slowdown_samples += count;
        const auto bucket = static_cast<std::size_t>(std::max(0.0, (slowdown - 1.0) * 100.0));
        auto& histogram = self.totals.slowdown_histogram;
        histogram.at(std::min(bucket, histogram.size() - 1)) += count;
    }
}

} // namespace

std::uint64_t next_bits(random_source& from) {
    from.state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = from.state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

double next_uniform(random_source& from) {
    return static_cast<double>(next_bits(from) >> 11U) * 0x1.0p-53;
}

double next_normal(random_source& from) {
    const double radius = std::sqrt(-2.0 * std::log(1.0 - next_uniform(from)));
    return radius * std::cos(2.0 * std::numbers::pi * next_uniform(from));
}

std::uint64_t next_below(random_source& from, std::uint64_t bound) {
    return next_bits(from) % bound;
}

time_point time_of_step(std::int64_t step) {
    constexpr duration origin{1'000'000};
    return time_point{origin + step * step_length};
}

bool accepts_starts(const world& self, const world_cell& cell) {
    const bool away = self.step >= self.events.leave_step && self.step < self.events.return_step;
    return !away || cell.data_centre != leaving_data_centre;
}

void advance(world& self) {
    update_noise_waves(self);
    for (auto& cell : self.cells) {
        cell.tables.now = time_of_step(self.step);
        for (std::size_t i = 0; i < cell.workers.size(); ++i) {
            advance_worker(self, cell, cell.workers[i]);
            if (measured(self) && self.step % steps_per_second == 0) {
                count_slowdown(self, cell, i);
            }
        }
    }
}

std::vector<std::pair<std::size_t, std::vector<usage_sample>>> collect_samples(world& self,
                                                                               world_cell& cell) {
    std::vector<std::pair<std::size_t, std::vector<usage_sample>>> arrived;
    for (std::size_t i = 0; i < cell.workers.size(); ++i) {
        if ((self.step + static_cast<std::int64_t>(i)) % sync_steps != 0) {
            continue;
        }
        auto& worker = cell.workers[i];
        const auto& row = cell.tables.workers[i];
        auto& batch = worker.samples.emplace_back(sample_batch{self.step, {}});
        std::array<double, service_classes> slowdowns{};
        for (const auto& task : worker.tasks) {
            const auto service = task.row->class_index;
            if (!is_running(task.row->phase) || !cell.tables.classes[service].latency_critical) {
                continue;
            }
            if (slowdowns.at(service) == 0.0) {
                slowdowns.at(service) =
                    true_slowdown(self, worker, row.capacity, cell.tables, service);
            }
            // Heavy-tailed noise: one sample in fifty is 0.8 too high.
            double noise = 0.05 * next_normal(self.sample_random);
            noise += next_uniform(self.sample_random) < 0.02 ? 0.8 : 0.0;
            batch.samples.push_back({task.row->id, task.row->task_class, 0,
                                     task.row->need.processors,
                                     std::max(0.5, slowdowns.at(service) + noise)});
        }
        while (!worker.samples.empty() &&
               worker.samples.front().sampled_at + sample_lag_steps <= self.step) {
            auto& due = worker.samples.front();
            for (auto& sample : due.samples) {
                sample.age_ms = (self.step - due.sampled_at) * step_length.count();
            }
            arrived.emplace_back(i, std::move(due.samples));
            worker.samples.pop_front();
        }
    }
    return arrived;
}

void set_true_effects(world& self, world_cell& cell) {
    auto& tables = cell.tables;
    if (tables.effects.empty()) {
        tables.effect_slots = batch_classes + 1;
        tables.effects.resize(service_classes);
        for (std::size_t b = 0; b < batch_classes; ++b) {
            tables.classes[service_classes + b].slot = b + 1;
        }
        for (std::size_t s = 0; s < service_classes; ++s) {
            tables.effects[s].mean.assign(1, 0.0);
            tables.effects[s].mean.insert(tables.effects[s].mean.end(), self.effect.at(s).begin(),
                                          self.effect.at(s).end());
        }
    }
    // The oracle's responses use the present slowdown without lag, noise and noise waves.
    for (std::size_t i = 0; i < cell.workers.size(); ++i) {
        auto& row = tables.workers[i];
        double worst = 1.0;
        for (const auto& resident : row.resident_classes) {
            if (tables.classes[resident.index].latency_critical && resident.running > 0) {
                worst = std::max(worst, true_slowdown(self, cell.workers[i], row.capacity, tables,
                                                      resident.index) -
                                            cell.workers[i].slowdown_noise);
            }
        }
        row.response.slowdown = worst;
        row.response.last_sample = time_of_step(self.step);
    }
}

void record_started(world& self, world_cell& cell, cell_task& task) {
    const std::size_t job = self.job_lookup.at(task.id.job);
    auto& row = self.jobs[job];
    running_task started{&task, self.step + 1, row.true_run_s, -1, job};
    const auto left = row.remaining.find(task.id.index);
    if (left != row.remaining.end()) {
        started.remaining_s = left->second;
        row.remaining.erase(left);
    }
    cell.workers[task.worker].tasks.push_back(started);
    ++task.attempt.value;
    self.totals.starts += measured(self) ? 1 : 0;
    record_decision(self, cell, task);
}

void record_decision(world& self, const world_cell& cell, const cell_task& task) {
    auto& row = self.jobs[self.job_lookup.at(task.id.job)];
    const bool counts = measured(self) && cell.tables.jobs.at(task.id.job).record.urgent;
    if (counts && row.decided.insert(task.id.index).second) {
        const auto waited = self.step - row.submitted;
        self.totals.urgent_decided_s.push_back(static_cast<double>(waited) * step_s);
    }
}

void record_refusal(world& self, world_cell& cell, const job_id& id) {
    const std::size_t job = self.job_lookup.at(id);
    auto& tables = cell.tables;
    for (auto at = tables.tasks.lower_bound({id, 0});
         at != tables.tasks.end() && at->first.job == id;) {
        const bool waits = at->second.phase == task_phase::waiting;
        self.jobs[job].unfinished -= waits ? 1 : 0;
        self.totals.refused += waits ? 1 : 0;
        at = waits ? tables.tasks.erase(at) : std::next(at);
    }
}

void finish(world& self) {
    const auto now = time_of_step(self.step);
    for (const auto& cell : self.cells) {
        for (const auto& [id, group] : cell.tables.waiting) {
            if (!group.indexes.empty()) {
                const auto waited = static_cast<std::uint64_t>((now - group.since).count() / 1'000);
                self.totals.longest_wait_s = std::max(self.totals.longest_wait_s, waited);
            }
        }
        for (const auto& [id, job] : cell.tables.jobs) {
            const auto deadline = job.record.deadline_unix_ms;
            const bool missed = deadline > 0 && deadline < now.time_since_epoch().count();
            self.totals.deadlines += missed ? 1 : 0;
        }
    }
}

} // namespace fulmar::bench
