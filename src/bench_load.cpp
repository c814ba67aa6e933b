#include "bench_world.hpp"
#include "quota.hpp"

#include <algorithm>
#include <cmath>

namespace fulmar::bench {

namespace {

constexpr std::int64_t steps_per_second = 1'000 / step_length.count();
constexpr std::size_t racks_per_cell = 3;
// Batch jobs with more tasks than this are split among several cells.
constexpr std::size_t max_tasks_per_part = 40;

// One batch job in this many needs more processors than any worker has.
constexpr std::uint64_t unplaceable_job_period = 50;
// The tasks of one batch job in this many fail at every start.
constexpr std::uint64_t failing_job_period = 70;
constexpr double urgent_fraction = 0.01; // urgent jobs per batch task started
constexpr double deadline_fraction = 0.3;
constexpr double accelerator_fraction = 0.035;
constexpr double cancelled_fraction = 0.1;

// Draws the true effect of each batch class on each service class: small for most pairs, large for
// 15% of them.
void draw_effects(world& self, random_source& random) {
    for (auto& row : self.effect) {
        for (auto& effect : row) {
            const double mild = 0.02 + 0.08 * next_uniform(random);
            effect = next_uniform(random) < 0.15 ? 0.6 + 1.2 * next_uniform(random) : mild;
        }
    }
}

cell_worker make_worker(std::size_t index, std::size_t& accelerators_left) {
    cell_worker row;
    row.id = {"w" + std::to_string(index)};
    // The two installations have workers of 64 and of 32 cores.
    const bool large = index % 2 == 0;
    const std::size_t accelerators =
        index % 3 == 0 ? std::min<std::size_t>(4, accelerators_left) : 0;
    accelerators_left -= accelerators;
    row.capacity = {{large ? 64'000 : 32'000},
                    {large ? 250'000 : 125'000},
                    {static_cast<std::int64_t>(accelerators)}};
    row.inventoried = true;
    row.need_inventory = false;
    return row;
}

void make_classes(cell_tables& tables) {
    for (std::size_t i = 0; i < service_classes; ++i) {
        find_class(tables, "service-" + std::to_string(i));
        tables.classes[i].latency_critical = true;
    }
    for (std::size_t i = 0; i < batch_classes; ++i) {
        find_class(tables, "batch-" + std::to_string(i));
    }
}

void make_cells(world& self) {
    self.cells.resize(self.size.cells);
    std::size_t accelerators_left = self.size.accelerators;
    for (std::size_t i = 0; i < self.cells.size(); ++i) {
        auto& cell = self.cells[i];
        cell.data_centre = i * data_centres / self.cells.size();
        make_classes(cell.tables);
    }
    for (std::size_t i = 0; i < self.size.workers; ++i) {
        auto& cell = self.cells[i * self.cells.size() / self.size.workers];
        auto row = make_worker(i, accelerators_left);
        row.rack = {"r" + std::to_string(cell.workers.size() % racks_per_cell)};
        cell.tables.worker_index[row.id] = cell.workers.size();
        cell.tables.workers.push_back(std::move(row));
        cell.workers.emplace_back();
    }
}

// Sets a quota for the three teams that submit the most work.
void make_quotas(world& self) {
    resources all;
    for (const auto& cell : self.cells) {
        all = all + cell_capacity(cell.tables);
    }
    for (auto& cell : self.cells) {
        for (std::size_t team = 0; team < 3; ++team) {
            const std::size_t index = find_team(cell.tables, {"team-" + std::to_string(team)});
            const resources quota{{all.processors.value / 10}, {}, {}};
            cell.tables.teams[index].quota = cell_quota(quota, cell_capacity(cell.tables), all);
        }
    }
}

void place_services(world& self, random_source& random) {
    constexpr std::size_t tasks_per_job = 8;
    for (std::size_t placed = 0; placed < self.size.services; placed += tasks_per_job) {
        const std::size_t index = placed * self.cells.size() / self.size.services;
        auto& cell = self.cells[index];
        job_record record;
        record.kind = job_kind::service;
        record.team = {"team-" + std::to_string(next_below(random, self.size.teams))};
        record.tasks =
            static_cast<std::uint32_t>(std::min(tasks_per_job, self.size.services - placed));
        const auto cores = static_cast<std::int64_t>(2 + next_below(random, 2));
        record.need = {{cores * 1'000}, {cores * 4'000}, {0}};
        record.task_class = "service-" + std::to_string(next_below(random, service_classes));
        const std::size_t job = submit(self, index, record, 1e9);
        for (std::uint32_t task = 0; task < record.tasks; ++task) {
            auto& row = cell.tables.tasks.at({self.jobs[job].id, task});
            const auto choice = choose_worker(cell.tables, row, cell.tables.now);
            if (choice.worker != no_worker) {
                set_phase(cell.tables, row, task_phase::starting, choice.worker);
                record_started(self, cell, row);
            }
        }
    }
}

// Returns the placed and waiting tasks of a cell per thousandth of a processor core.
double tasks_per_processor(const world_cell& cell) {
    std::size_t tasks = 0;
    for (const auto& worker : cell.tables.workers) {
        tasks += worker.placed;
    }
    for (const auto& [id, group] : cell.tables.waiting) {
        tasks += group.indexes.size();
    }
    return static_cast<double>(tasks) /
           static_cast<double>(cell_capacity(cell.tables).processors.value);
}

// Returns the less loaded of two random cells that accept starts.
std::size_t choose_cell(world& self) {
    const auto draw = [&] {
        std::size_t index = next_below(self.load_random, self.cells.size());
        while (!accepts_starts(self, self.cells[index])) {
            index = (index + 1) % self.cells.size();
        }
        return index;
    };
    const std::size_t first = draw();
    const std::size_t second = draw();
    return tasks_per_processor(self.cells[first]) <= tasks_per_processor(self.cells[second])
               ? first
               : second;
}

std::int64_t unix_ms(const world& self, double seconds_ahead) {
    return time_of_step(self.step).time_since_epoch().count() +
           static_cast<std::int64_t>(seconds_ahead * 1'000.0);
}

job_record make_batch_record(world& self, double true_run_s) {
    auto& random = self.load_random;
    job_record record;
    // The product of two uniform numbers makes a few teams submit most of the work.
    const double skewed = next_uniform(random) * next_uniform(random);
    record.team = {"team-" + std::to_string(static_cast<std::size_t>(
                                 skewed * static_cast<double>(self.size.teams)))};
    constexpr std::array<std::int64_t, 8> sizes{500, 500, 1'000, 1'000, 1'000, 1'000, 1'000, 2'000};
    const std::int64_t size = sizes.at(next_below(random, sizes.size()));
    record.need = {{size}, {size * 2 + static_cast<std::int64_t>(next_below(random, 1'000))}, {0}};
    if (next_uniform(random) < accelerator_fraction) {
        record.need.accelerators = {1};
    }
    record.task_class = "batch-" + std::to_string(next_below(random, batch_classes));
    // Declared run times differ from the true ones by a random factor (1.1 is the standard
    // deviation of its logarithm, that is, a factor of three either way).
    const double declared = true_run_s * std::exp(1.1 * next_normal(random));
    record.run_ms = std::max<std::int64_t>(1'000, static_cast<std::int64_t>(declared * 1'000.0));
    return record;
}

// Returns the mean true run time, in seconds, at which the configured start rate keeps the
// configured number of batch tasks running.
double mean_run_s(const world& self) {
    return static_cast<double>(self.size.batch) / self.size.starts_per_second;
}

// Submits one batch job, split among several cells. Returns its number of tasks, or 0 if no worker
// can run them.
std::size_t submit_batch_job(world& self) {
    auto& random = self.load_random;
    const double spread = 0.5;
    const double run =
        mean_run_s(self) * std::exp(spread * next_normal(random) - spread * spread / 2);
    auto record = make_batch_record(self, run);
    const std::size_t tasks = 5 + next_below(random, 30) * next_below(random, 30);
    if (next_uniform(random) < deadline_fraction) {
        record.deadline_unix_ms = unix_ms(self, run * (1.5 + 3.0 * next_uniform(random)));
    }
    const bool unplaceable = self.next_job % unplaceable_job_period == unplaceable_job_period - 1;
    if (unplaceable) {
        record.need.processors = {128'000};
    }
    const bool failing = self.next_job % failing_job_period == failing_job_period - 1;
    const double use = std::exp(0.3 * next_normal(random));
    for (std::size_t done = 0; done < tasks; done += max_tasks_per_part) {
        record.tasks = static_cast<std::uint32_t>(std::min(max_tasks_per_part, tasks - done));
        const std::size_t job = submit(self, choose_cell(self), record, run);
        self.jobs[job].always_fails = failing;
        self.jobs[job].use_factor = use;
    }
    return unplaceable ? 0 : tasks;
}

void submit_urgent_job(world& self) {
    auto& random = self.load_random;
    const double run = 5.0 + 15.0 * next_uniform(random);
    auto record = make_batch_record(self, run);
    record.urgent = true;
    record.tasks = static_cast<std::uint32_t>(1 + next_below(random, 3));
    const auto cores = static_cast<std::int64_t>(1 + next_below(random, 4));
    record.need = {{cores * 1'000}, {cores * 4'000}, {next_below(random, 10) == 0 ? 1 : 0}};
    submit(self, choose_cell(self), record, run);
}

void erase_waiting(world& self, world_cell& cell, world_job& job) {
    for (auto at = cell.tables.tasks.lower_bound({job.id, 0});
         at != cell.tables.tasks.end() && at->first.job == job.id;) {
        const bool waits = at->second.phase == task_phase::waiting;
        job.unfinished -= waits ? 1 : 0;
        self.totals.cancelled += waits ? 1 : 0;
        at = waits ? cell.tables.tasks.erase(at) : std::next(at);
    }
}

// Cancels each unfinished batch job with probability `cancelled_fraction`, all in one step.
void cancel_batch_jobs(world& self) {
    for (auto& job : self.jobs) {
        auto& cell = self.cells[job.cell];
        const auto record = cell.tables.jobs.find(job.id);
        if (record == cell.tables.jobs.end() || job.unfinished == 0 ||
            record->second.record.kind != job_kind::batch ||
            next_uniform(self.load_random) >= cancelled_fraction) {
            continue;
        }
        job.cancelled = true;
        record->second.record.cancelled = true;
        erase_waiting(self, cell, job);
    }
}

// Evicts the running batch tasks in the cells that accept no starts.
void evict_from_leaving_cells(world& self) {
    for (auto& cell : self.cells) {
        if (accepts_starts(self, cell)) {
            continue;
        }
        for (auto& [id, task] : cell.tables.tasks) {
            const auto& record = cell.tables.jobs.at(id.job).record;
            if (record.kind == job_kind::batch && task.phase == task_phase::running) {
                set_phase(cell.tables, task, task_phase::evicting, task.worker);
                ++self.totals.evictions_drain;
            }
        }
    }
}

// Moves a job to another cell if all of its tasks are waiting.
void move_job(world& self, world_cell& from, world_job& job) {
    std::vector<task_id> waiting;
    for (auto at = from.tables.tasks.lower_bound({job.id, 0});
         at != from.tables.tasks.end() && at->first.job == job.id; ++at) {
        if (at->second.phase != task_phase::waiting) {
            return;
        }
        waiting.push_back(at->first);
    }
    job.cell = choose_cell(self);
    auto& to = self.cells[job.cell].tables;
    to.jobs[job.id] = {from.tables.jobs.at(job.id).record, {}};
    for (const auto& id : waiting) {
        auto node = from.tables.tasks.extract(id);
        node.mapped().failed_workers.clear();
        const auto inserted = to.tasks.insert(std::move(node));
        add_waiting(to, inserted.position->second);
    }
    from.tables.waiting.erase(job.id);
    from.tables.jobs.erase(job.id);
}

void move_from_leaving_cells(world& self) {
    for (auto& cell : self.cells) {
        if (accepts_starts(self, cell)) {
            continue;
        }
        std::vector<job_id> ids;
        for (const auto& [id, job] : cell.tables.jobs) {
            if (job.record.kind == job_kind::batch) {
                ids.push_back(id);
            }
        }
        for (const auto& id : ids) {
            move_job(self, cell, self.jobs[self.job_lookup.at(id)]);
        }
    }
}

void set_failing_workers(world& self, bool failing) {
    constexpr std::size_t period = 97;
    std::size_t index = 0;
    for (auto& cell : self.cells) {
        for (auto& worker : cell.workers) {
            worker.fails_all_starts = failing && index % period == 11;
            ++index;
        }
    }
}

} // namespace

std::size_t submit(world& self, std::size_t cell, const job_record& record, double true_run_s) {
    const std::size_t index = self.jobs.size();
    auto& job = self.jobs.emplace_back();
    job.id = {"j" + std::to_string(index)};
    job.cell = cell;
    job.unfinished = record.tasks;
    job.true_run_s = true_run_s;
    job.submitted = self.step;
    self.job_lookup[job.id] = index;
    auto& tables = self.cells[cell].tables;
    tables.now = time_of_step(self.step);
    tables.jobs[job.id] = {record, {}};
    for (std::uint32_t i = 0; i < record.tasks; ++i) {
        auto& task = tables.tasks[{job.id, i}];
        task.id = {job.id, i};
        task.need = record.need;
        task.task_class = record.task_class;
        task.waiting_since = tables.now;
        add_waiting(tables, task);
    }
    return index;
}

world make_world(const world_size& size, const world_events& events, const policy_options& options,
                 std::uint64_t seed) {
    world self;
    self.size = size;
    self.events = events;
    random_source structure{seed};
    self.load_random = {seed + 1};
    self.sample_random = {seed + 2};
    draw_effects(self, structure);
    make_cells(self);
    make_quotas(self);
    place_services(self, structure);
    // The services are placed with the default options, so that they have the same placement under
    // every policy.
    for (auto& cell : self.cells) {
        cell.tables.options = options;
    }
    // Enough batch work to fill the installation is waiting at the start.
    for (std::size_t tasks = 0; tasks < size.batch;) {
        ++self.next_job;
        tasks += submit_batch_job(self);
    }
    return self;
}

void submit_arrivals(world& self) {
    const auto& events = self.events;
    if (self.step == events.failing_from || self.step == events.failing_until) {
        set_failing_workers(self, self.step == events.failing_from);
    }
    if (self.step == events.cancel_step) {
        cancel_batch_jobs(self);
    }
    if (self.step == events.leave_step) {
        evict_from_leaving_cells(self);
    }
    if (self.step > events.leave_step && self.step < events.return_step) {
        move_from_leaving_cells(self);
    }
    const double per_step = self.size.starts_per_second / static_cast<double>(steps_per_second);
    self.batch_tasks_due += per_step;
    while (self.batch_tasks_due > 0.0) {
        ++self.next_job;
        self.batch_tasks_due -=
            static_cast<double>(std::max<std::size_t>(1, submit_batch_job(self)));
    }
    self.urgent_jobs_due += per_step * urgent_fraction;
    while (self.urgent_jobs_due > 0.0) {
        self.urgent_jobs_due -= 1.0;
        submit_urgent_job(self);
    }
}

} // namespace fulmar::bench
