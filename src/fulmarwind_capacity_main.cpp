// Measures the processor time, memory and network bytes that controlling one cell takes at several
// sizes, and fits a line to each series. docs/CAPACITY.md uses the slopes.
#include "cell_control.hpp"
#include "fulmar/worker_http.hpp"
#include "membership.hpp"
#include "worker_memory.hpp"

#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>

namespace fulmar {

namespace {

constexpr duration step{100};
constexpr std::int64_t warm_up_steps = 100;
constexpr std::int64_t measured_steps = 600; // one simulated minute

struct workload {
    int workers = 24;
    int tasks_per_worker = 34; // running during the whole measurement
    int starts_per_second = 0; // starts of tasks that run for 2 s
};

struct cost {
    double processor_us = 0;   // scheduler's processor time, per second
    double sent_bytes = 0;     // in bodies of sync requests, per second
    double received_bytes = 0; // in bodies of sync replies, per second
    double commit_bytes = 0;   // in progress writes, per second
    double commits = 0;        // per second
    double starts = 0;         // executed by the workers, per second
};

double processor_us_now() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

job_record make_job(const cell_state& cell, int tasks, std::int64_t run_ms) {
    job_record job;
    job.team = {"team"};
    job.cell = cell.id;
    job.tasks = static_cast<std::uint32_t>(tasks);
    job.need = {{100}, {100}, {0}};
    job.task_class = "render";
    job.run_ms = run_ms;
    job.created_epoch = cell.epoch;
    return job;
}

// One cell with its workers. Each write to the store succeeds at once.
struct fixture {
    metrics counters;
    cell_state cell = make_cell({"c"}, {"dc"}, {"host"}, {}, counters);
    std::map<worker_id, cell_worker_model> workers;
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    std::uint64_t jobs = 0;
    cost total;
};

void add_job(fixture& self, int tasks, std::int64_t run_ms) {
    on_job(self.cell, {"job-" + std::to_string(self.jobs++)}, make_job(self.cell, tasks, run_ms),
           {++self.revision}, self.now);
}

void start(fixture& self, const workload& load) {
    for (int i = 0; i < load.workers; ++i) {
        const worker_id id{"worker-" + std::to_string(i)};
        add_worker(self.cell, id, {"", {"c"}, {"dc"}, {"rack-" + std::to_string(i % 3)}});
        auto& worker = self.workers[id];
        worker.id = id;
        worker.capacity = {{64'000}, {250'000}, {1}};
    }
    activate(self.cell, {1}, self.now);
    on_claim_confirmed(self.cell, {++self.revision}, self.now);
    on_progress_read(self.cell, std::nullopt, self.now);
    on_data_centre_state(self.cell, data_centre_state::in, self.now);
    add_job(self, load.workers * load.tasks_per_worker, 0);
}

// Sends one sync request to its worker and processes the reply. Only the scheduler's processor time
// is counted.
void exchange(fixture& self, const sync_action& action) {
    auto& worker = self.workers.at(action.worker);
    auto start_us = processor_us_now();
    const auto body = serialize_sync_request(action.request);
    self.total.processor_us += processor_us_now() - start_us;
    const auto reply = handle_sync(worker, parse_sync_request(body).value(), self.now);
    const auto answer = reply ? serialize_sync_reply(reply.value()) : std::string();
    self.total.sent_bytes += static_cast<double>(body.size());
    self.total.received_bytes += static_cast<double>(answer.size());
    start_us = processor_us_now();
    on_sync(self.cell, action.worker, action.sent,
            reply ? parse_sync_reply(answer) : result<sync_reply>(reply.error()), self.now);
    self.total.processor_us += processor_us_now() - start_us;
}

void run_step(fixture& self) {
    self.now += step;
    on_claim_confirmed(self.cell, self.cell.claim_revision, self.now);
    on_data_centre_state(self.cell, data_centre_state::in, self.now);
    for (auto& [id, worker] : self.workers) {
        advance_worker(worker, self.now);
    }
    const auto start_us = processor_us_now();
    auto actions = tick(self.cell, self.now);
    self.total.processor_us += processor_us_now() - start_us;
    for (const auto& action : actions.syncs) {
        exchange(self, action);
    }
    if (actions.progress_write) {
        self.total.commit_bytes += static_cast<double>(actions.progress_write->value.size());
        self.total.commits += 1;
        on_progress_written(self.cell, actions.epoch, revision_number{++self.revision}, self.now);
    }
}

std::uint64_t count_starts(const fixture& self) {
    std::uint64_t starts = 0;
    for (const auto& [id, worker] : self.workers) {
        starts += worker.starts;
    }
    return starts;
}

cost measure(const workload& load) {
    fixture self;
    start(self, load);
    for (std::int64_t i = 0; i < warm_up_steps; ++i) {
        run_step(self);
    }
    self.total = {};
    const auto before = count_starts(self);
    constexpr std::int64_t steps_per_second = 1'000 / step.count();
    for (std::int64_t i = 0; i < measured_steps; ++i) {
        if (load.starts_per_second > 0 && i % steps_per_second == 0) {
            add_job(self, load.starts_per_second, 2'000);
        }
        run_step(self);
    }
    const double seconds = static_cast<double>(measured_steps) / steps_per_second;
    auto& total = self.total;
    return {
        total.processor_us / seconds,   total.sent_bytes / seconds,
        total.received_bytes / seconds, total.commit_bytes / seconds,
        total.commits / seconds,        static_cast<double>(count_starts(self) - before) / seconds};
}

struct point {
    double x = 0;
    double y = 0;
};

// Fits y = a + b x and prints it with the largest deviation of a point from the line.
void print_fit(const char* what, const std::vector<point>& points) {
    double n = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& p : points) {
        n += 1;
        x += p.x;
        y += p.y;
        xx += p.x * p.x;
        xy += p.x * p.y;
    }
    const double slope = (n * xy - x * y) / (n * xx - x * x);
    const double base = (y - slope * x) / n;
    double deviation = 0;
    for (const auto& p : points) {
        deviation = std::max(deviation, std::abs(p.y - base - slope * p.x));
    }
    std::printf("%-44s", what);
    for (const auto& p : points) {
        std::printf(" %g:%.4g", p.x, p.y);
    }
    std::printf("  slope %.4g  base %.4g  largest deviation %.3g\n", slope, base, deviation);
}

// Measures a series of workloads and fits each cost.
void print_series(const char* name, const std::vector<double>& sizes,
                  const std::function<workload(double)>& make) {
    std::vector<std::pair<double, cost>> costs;
    costs.reserve(sizes.size());
    for (const double size : sizes) {
        costs.emplace_back(size, measure(make(size)));
    }
    std::printf("%s\n", name);
    const auto fit = [&](const char* what, double cost::*field) {
        std::vector<point> points;
        points.reserve(costs.size());
        for (const auto& [size, measured] : costs) {
            points.push_back({size, measured.*field});
        }
        print_fit(what, points);
    };
    fit("  scheduler processor time, us/s", &cost::processor_us);
    fit("  sync request bodies, bytes/s", &cost::sent_bytes);
    fit("  sync reply bodies, bytes/s", &cost::received_bytes);
    fit("  group commit bodies, bytes/s", &cost::commit_bytes);
    fit("  group commits, 1/s", &cost::commits);
    fit("  starts executed, 1/s", &cost::starts);
}

// Returns the heap bytes in use.
double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

void print_memory() {
    std::vector<point> waiting;
    std::vector<point> jobs;
    for (const double size : {1'000.0, 4'000.0, 16'000.0}) {
        fixture self;
        start(self, {1, 0, 0});
        auto before = heap_bytes();
        add_job(self, static_cast<int>(size), 0);
        waiting.push_back({size, heap_bytes() - before});
        before = heap_bytes();
        for (int i = 0; i < static_cast<int>(size); ++i) {
            add_job(self, 1, 0);
        }
        jobs.push_back({size, heap_bytes() - before});
    }
    std::puts("memory");
    print_fit("  heap of waiting tasks of one job, bytes", waiting);
    print_fit("  heap of jobs of one task, bytes", jobs);
}

void print_heartbeats() {
    std::vector<point> sizes;
    for (const double cells : {1.0, 4.0, 16.0}) {
        heartbeat message{{"entry-host-1.1234567890"}, {"jepara-a"}, {280}, false, {}};
        for (int i = 0; i < static_cast<int>(cells); ++i) {
            message.cells.push_back({{"jepara-a-" + std::to_string(i)}, {1'000}});
        }
        sizes.push_back({cells, static_cast<double>(serialize(message).size())});
    }
    std::puts("heartbeats by cells owned");
    print_fit("  datagram, bytes", sizes);
}

void run() {
    print_series("by workers of the cell (34 tasks each, no starts)", {12, 24, 48}, [](double n) {
        return workload{static_cast<int>(n), 34, 0};
    });
    print_series("by running tasks per worker (24 workers, no starts)", {17, 34, 68}, [](double n) {
        return workload{24, static_cast<int>(n), 0};
    });
    print_series("by starts per second (24 workers, 34 tasks each)", {5, 15, 45}, [](double n) {
        return workload{24, 34, static_cast<int>(n)};
    });
    print_memory();
    print_heartbeats();
}

} // namespace

} // namespace fulmar

int main() {
    fulmar::run();
    return 0;
}
