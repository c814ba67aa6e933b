#include "placement.hpp"

#include "interference.hpp"
#include "quarantine.hpp"
#include "quota.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace fulmar {

namespace {

// Tiers of waiting jobs, in placement order.
enum class tier : std::uint8_t { urgent, starving, deadline, fair_share };

// A job that has waited this long without a start takes precedence over deadlines and fair shares,
// so that no job starves.
constexpr duration starvation_time{120'000};

// Longest time for which a starving job keeps a worker free for itself.
constexpr duration reservation_time{60'000};

// A job is ranked by its deadline once its slack is below this or below half of its run time.
constexpr double tight_slack_ms = 60'000.0;

// Declared run times are wrong by large factors, so the estimate is increased by this factor.
constexpr double run_time_margin = 1.5;

// Weights of the score. The added slowdown is summed over the service tasks; a slowdown of 0.01
// weighs as much as a tenth of a worker's headroom.
constexpr double interference_weight = 10.0;
constexpr double observed_weight = 2.0;
constexpr double accelerator_weight = 4.0;
constexpr double rack_weight = 2.0;
constexpr double headroom_weight = 1.0;

double share_of(std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Returns the free fraction of the scarcer of processors and memory.
double headroom(const cell_worker& worker, const resources& left) {
    return std::min(share_of(left.processors.value, worker.capacity.processors.value),
                    share_of(left.memory.value, worker.capacity.memory.value));
}

// Properties of the task that the choice of a worker needs, looked up once.
struct placement_request {
    const cell_task& task;
    std::size_t class_index = no_index;
    bool batch = false;
    bool urgent = false;
};

placement_request make_placement_request(const cell_tables& tables, const cell_task& task) {
    placement_request request{task};
    const auto job = tables.jobs.find(task.id.job);
    if (job != tables.jobs.end()) {
        request.class_index = job->second.class_index;
        request.batch = job->second.record.kind == job_kind::batch;
        request.urgent = job->second.record.urgent;
    }
    return request;
}

// Counts the tasks of a class on a rack, to spread services over racks.
std::int64_t count_on_rack(const cell_tables& tables, const rack_id& rack, std::size_t index) {
    std::int64_t count = 0;
    for (const auto& worker : tables.workers) {
        if (worker.rack != rack) {
            continue;
        }
        for (const auto& resident : worker.resident_classes) {
            count += resident.index == index ? resident.tasks : 0;
        }
    }
    return count;
}

// Why a worker is not chosen for a task, in ascending order of precedence in the reported reason: a
// later obstacle means that the task was closer to a start.
enum class obstacle : std::uint8_t {
    no_worker,
    fits_no_worker,
    no_capacity,
    reserved,
    urgent_reserve,
    worker_suspect,
    quarantined,
    failed_there,
    interference,
    none,
};

constexpr std::array<std::string_view, 10> obstacle_names{
    "no_worker",      fits_no_worker, "no_capacity",  "reserved",     "urgent_reserve",
    "worker_suspect", "quarantined",  "failed_there", "interference", ""};
static_assert(obstacle_names.size() == static_cast<std::size_t>(obstacle::none) + 1);

obstacle to_obstacle(std::string_view health) {
    const auto at = std::ranges::find(obstacle_names, health) - obstacle_names.begin();
    return static_cast<obstacle>(at);
}

obstacle find_obstacle(const cell_tables& tables, const cell_worker& worker,
                       const placement_request& wanted, time_point now) {
    const auto& task = wanted.task;
    if (!worker.inventoried || !worker.reachable) {
        return obstacle::no_worker;
    }
    if (!fits(task.need, worker.capacity)) {
        return obstacle::fits_no_worker;
    }
    if (!fits(task.need, worker.capacity - worker.committed)) {
        return obstacle::no_capacity;
    }
    if (worker.reserved_for && now < worker.reserved_until && *worker.reserved_for != task.id) {
        return obstacle::reserved;
    }
    const bool in_reserve =
        wanted.batch && !wanted.urgent && now - task.waiting_since < starvation_time &&
        tables.options.urgent_reserve_percent > 0 &&
        (worker.capacity - worker.committed - task.need).processors.value * 100 <
            worker.capacity.processors.value * tables.options.urgent_reserve_percent;
    if (in_reserve) {
        return obstacle::urgent_reserve;
    }
    if (const auto health = find_health_obstacle(worker, task, now); !health.empty()) {
        return to_obstacle(health);
    }
    // With a model, only classes that harm a service are rejected; see score.
    const bool without_model = tables.options.kind == placement_kind::full && wanted.batch &&
                               !tables.options.interference_model;
    if (without_model && worker.response.stage != response_stage::none && !wanted.urgent) {
        return obstacle::interference;
    }
    return obstacle::none;
}

// Returns the score of a feasible worker; higher is better. Returns nothing when the forecast
// slowdown forbids the placement.
std::optional<double> score(const cell_tables& tables, const cell_worker& worker,
                            const placement_request& wanted) {
    const auto& task = wanted.task;
    const resources left = worker.capacity - worker.committed - task.need;
    double sum = headroom_weight * headroom(worker, left);
    if (tables.options.kind == placement_kind::least_loaded) {
        return sum;
    }
    // Tasks without accelerators leave workers with free accelerators to tasks that need them.
    // Tasks that need accelerators fill one worker before they start on another.
    if (worker.capacity.accelerators.value > 0) {
        const double free = share_of(left.accelerators.value, worker.capacity.accelerators.value);
        sum -= accelerator_weight * free;
    }
    if (!wanted.batch) {
        const auto same = wanted.class_index == no_index
                              ? 0
                              : count_on_rack(tables, worker.rack, wanted.class_index);
        return sum - rack_weight * static_cast<double>(same);
    }
    sum -= observed_weight * std::max(0.0, worker.response.slowdown - 1.0);
    if (!tables.options.interference_model || wanted.class_index == no_index) {
        return sum;
    }
    const auto expected = forecast(tables, worker, wanted.class_index, task.need.processors.value);
    const bool disturbed = worker.response.stage != response_stage::none;
    const bool refused = !wanted.urgent && ((disturbed && expected.harmful) ||
                                            expected.worst > admission_limit(tables.options));
    if (refused) {
        return std::nullopt;
    }
    return sum - interference_weight * expected.added;
}

// Estimates the run time of a job's tasks, in milliseconds.
double estimate_run_ms(const cell_tables& tables, const cell_job& job) {
    const double factor = tables.classes[job.class_index].run_factor;
    return static_cast<double>(job.record.run_ms) * factor * run_time_margin;
}

ranked_job rank_job(cell_tables& tables, const job_id& id, cell_job& job, waiting_group& group,
                    time_point now) {
    const auto make = [&](tier level, double rank) {
        return ranked_job{static_cast<std::uint8_t>(level), rank, &id, &job, &group};
    };
    resolve_job(tables, job);
    const auto age_rank = static_cast<double>(group.since.time_since_epoch().count());
    if (job.record.urgent) {
        return make(tier::urgent, age_rank);
    }
    if (now - group.since >= starvation_time) {
        return make(tier::starving, age_rank);
    }
    if (job.record.deadline_unix_ms > 0) {
        const auto unix_now = now.time_since_epoch().count() + tables.unix_offset_ms;
        const double run = estimate_run_ms(tables, job);
        const double slack = static_cast<double>(job.record.deadline_unix_ms - unix_now) - run;
        if (slack < std::max(tight_slack_ms, run / 2)) {
            return make(tier::deadline, slack);
        }
    }
    return make(tier::fair_share, fair_share_use(tables, job.team_index));
}

// Rebuilds the index of waiting tasks from the task table and copies each job's wait reason to its
// tasks.
void rebuild_waiting(cell_tables& tables, time_point now) {
    tables.waiting_rebuilt = now;
    for (auto& [id, group] : tables.waiting) {
        group.indexes.clear();
    }
    for (auto& [id, task] : tables.tasks) {
        if (task.phase != task_phase::waiting) {
            continue;
        }
        const auto [found, created] = tables.waiting.try_emplace(id.job);
        auto& group = found->second;
        if (created) {
            group.since = task.waiting_since;
        } else if (group.reason != "new") {
            task.wait_reason = group.reason;
        }
        group.indexes.push_back(id.index);
    }
    std::erase_if(tables.waiting, [](const auto& entry) { return entry.second.indexes.empty(); });
}

// Reserves the worker with the most headroom for a starving job whose tasks don't fit into the
// resources that smaller tasks leave free.
void reserve_worker(cell_tables& tables, const cell_task& task, time_point now) {
    cell_worker* best = nullptr;
    for (auto& worker : tables.workers) {
        const bool reserved = worker.reserved_for && now < worker.reserved_until;
        if (reserved && worker.reserved_for->job == task.id.job) {
            return;
        }
        const bool possible = worker.inventoried && !reserved && fits(task.need, worker.capacity) &&
                              find_health_obstacle(worker, task, now).empty();
        if (possible &&
            (best == nullptr || headroom(worker, worker.capacity - worker.committed) >
                                    headroom(*best, best->capacity - best->committed))) {
            best = &worker;
        }
    }
    if (best != nullptr) {
        best->reserved_for = task.id;
        best->reserved_until = now + reservation_time;
    }
}

// Returns whether `larger` is at least `smaller` in every resource.
bool covers(const resources& larger, const resources& smaller) {
    return fits(smaller, larger);
}

constexpr auto later = [](const ranked_job& a, const ranked_job& b) { return b < a; };

void push_job(waiting_order& order, const ranked_job& job) {
    order.heap.push_back(job);
    std::ranges::push_heap(order.heap, later);
}

ranked_job pop_job(waiting_order& order) {
    std::ranges::pop_heap(order.heap, later);
    const auto job = order.heap.back();
    order.heap.pop_back();
    return job;
}

// Removes a waiting task from a group and returns it. Returns null when the group has none.
cell_task* pop_task(cell_tables& tables, const job_id& id, waiting_group& group) {
    while (!group.indexes.empty()) {
        const auto found = tables.tasks.find({id, group.indexes.back()});
        group.indexes.pop_back();
        if (found != tables.tasks.end() && found->second.phase == task_phase::waiting) {
            return &found->second;
        }
    }
    return nullptr;
}

} // namespace

std::string_view find_known_failure(const waiting_order& order, const cell_task& task,
                                    const cell_job& job) {
    if (!task.failed_workers.empty()) {
        return {};
    }
    for (const auto& shape : order.failed_shapes) {
        if (shape.class_index == job.class_index && shape.urgent == job.record.urgent &&
            covers(task.need, shape.need)) {
            return shape.reason;
        }
    }
    return {};
}

void record_placement_failure(waiting_order& order, const cell_task& task, const cell_job& job,
                              std::string_view reason) {
    if (task.failed_workers.empty()) {
        order.failed_shapes.push_back({job.class_index, job.record.urgent, task.need, reason});
    }
}

placement choose_worker(const cell_tables& tables, const cell_task& task, time_point now) {
    const auto wanted = make_placement_request(tables, task);
    std::size_t best = no_worker;
    double best_score = 0.0;
    obstacle closest = obstacle::no_worker;
    for (std::size_t i = 0; i < tables.workers.size(); ++i) {
        const auto& worker = tables.workers[i];
        const auto found = find_obstacle(tables, worker, wanted, now);
        if (found != obstacle::none) {
            closest = std::max(closest, found);
            continue;
        }
        if (tables.options.kind == placement_kind::first_fit) {
            return {i, {}};
        }
        const auto value = score(tables, worker, wanted);
        if (!value) {
            closest = std::max(closest, obstacle::interference);
            continue;
        }
        if (best == no_worker || *value > best_score) {
            best = i;
            best_score = *value;
        }
    }
    return {best, best == no_worker ? obstacle_names.at(static_cast<std::size_t>(closest)) : ""};
}

waiting_order rank_waiting(cell_tables& tables, time_point now) {
    tables.last_round = now;
    if (now >= tables.waiting_rebuilt + rebuild_interval || tables.waiting_rebuilt > now) {
        rebuild_waiting(tables, now);
    }
    tables.placement_inputs_seen = tables.placement_inputs;
    tables.round_capacity = cell_capacity(tables);
    waiting_order order;
    order.heap.reserve(tables.waiting.size());
    for (auto& [id, group] : tables.waiting) {
        const auto job = tables.jobs.find(id);
        if (job != tables.jobs.end() && !group.indexes.empty()) {
            order.heap.push_back(rank_job(tables, id, job->second, group, now));
        }
    }
    std::ranges::make_heap(order.heap, later);
    return order;
}

cell_task* next_waiting(cell_tables& tables, waiting_order& order, time_point now) {
    const auto rank_again = [&](const ranked_job& job) {
        return rank_job(tables, *job.id, *job.job, *job.group, now);
    };
    if (order.current) {
        push_job(order, rank_again(*order.current));
        order.current.reset();
    }
    while (!order.heap.empty()) {
        const auto job = pop_job(order);
        // Another job of the team may have been placed since this job was ranked.
        const auto present = rank_again(job);
        if (job < present) {
            push_job(order, present);
            continue;
        }
        if (auto* task = pop_task(tables, *job.id, *job.group)) {
            order.current = job;
            return task;
        }
    }
    for (const auto& id : order.deferred) {
        tables.waiting.at(id.job).indexes.push_back(id.index);
    }
    order.deferred.clear();
    return nullptr;
}

void defer_task(cell_tables& tables, waiting_order& order, cell_task& task, std::string_view reason,
                bool whole_job, time_point now) {
    task.wait_reason = reason;
    auto& group = *order.current->group;
    if (!whole_job) {
        order.deferred.push_back(task.id);
        return;
    }
    group.indexes.push_back(task.id.index);
    group.reason = reason;
    order.current.reset();
    const bool starving = now - group.since >= starvation_time;
    if (starving && tables.options.kind == placement_kind::full && reason != "over_quota") {
        reserve_worker(tables, task, now);
    }
}

void record_placed(cell_tables& tables, const cell_task& task, time_point now) {
    auto& group = tables.waiting.at(task.id.job);
    group.since = now;
    auto& worker = tables.workers.at(task.worker);
    if (worker.reserved_for == task.id) {
        worker.reserved_for.reset();
    }
}

std::vector<cell_task*> order_waiting(cell_tables& tables, time_point now) {
    tables.waiting_rebuilt = {};
    std::vector<cell_task*> ordered;
    rebuild_waiting(tables, now);
    auto order = rank_waiting(tables, now);
    while (auto* task = next_waiting(tables, order, now)) {
        ordered.push_back(task);
    }
    rebuild_waiting(tables, now);
    return ordered;
}

} // namespace fulmar
