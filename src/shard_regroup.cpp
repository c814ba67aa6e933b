// Moves serving tasks so that tasks that are disturbed by the same fillers share workers. Serving
// tasks arrive before the effects between images are known and end up mixed, so that every filler
// finds tasks that it disturbs on every worker.
#include "shard_internal.hpp"

#include <algorithm>
#include <cmath>

namespace fulmar {

namespace {

constexpr duration regroup_interval{300};

// Maximum number of concurrent moves in one shard. Each makes a serving task unavailable for about
// a second. Every open reservation counts as a move, including those of waiting long-running tasks.
constexpr std::size_t max_concurrent_moves = 2;

// Minimum time that a task stays on a worker before it is moved again.
constexpr duration min_stay{6'000};

// Minimum gain of a move: additional processors for fillers, in thousandths of a core.
constexpr double min_gain = 2'500;

// Weight of the disturbance of serving tasks when estimating how much of a worker fillers can use.
constexpr double disturbance_weight = 0.25;

// Part of their reserved processors that serving tasks use on average.
constexpr double serving_use = 0.5;

// Factor by which recorded demand decreases with each round: to about a third after 10 s.
constexpr double demand_decay = 0.97;

// Weight of a new measurement of room in the smoothed value. Room varies with the load of serving
// tasks.
constexpr double room_weight = 0.4;

// Smaller effects are treated as noise.
constexpr double min_effect = 2.0;

// Recent demand for processors by image of the fillers.
struct demand_table {
    std::vector<std::string> images;
    std::vector<double> weights; // sum to 1
};

demand_table update_demand(shard_state& shard) {
    for (auto& [image, demand] : shard.filler_demand) {
        demand *= demand_decay;
    }
    for (const auto& [key, run] : shard.tables.runs) {
        if (run.filler) {
            shard.filler_demand[run.image] += static_cast<double>(run.need.processors.value);
        }
    }
    demand_table table;
    double total = 0;
    for (const auto& [image, demand] : shard.filler_demand) {
        table.images.push_back(image);
        table.weights.push_back(demand);
        total += demand;
    }
    for (auto& weight : table.weights) {
        weight /= std::max(total, 1.0);
    }
    return table;
}

// Conservative estimates of the effect of each filler image on one serving image, in the order of
// the demand table.
using effect_vector = std::vector<double>;

effect_vector find_effects(const shard_state& shard, const demand_table& demand,
                           const std::string& image) {
    effect_vector effects;
    for (const auto& filler : demand.images) {
        const double effect = lower_effect_estimate(shard.effects, image, filler);
        effects.push_back(effect < min_effect ? 0 : effect);
    }
    return effects;
}

// State of a worker that matters to fillers.
struct worker_view {
    worker_row* worker = nullptr;
    double idle = 0;           // thousandths of a core that aren't used by tasks other than fillers
    effect_vector disturbance; // sum of the effects on its serving tasks, by filler image
};

// Returns the processors of a worker that fillers can use with little disturbance, in thousandths
// of a core, weighted by demand. If `change` is set, computes the value after its effects were
// added (sign 1) or removed (sign -1). `idle_change` is added to the worker's idle processors.
double usable_processors(const worker_view& view, const demand_table& demand,
                         const effect_vector* change, double sign, double idle_change) {
    double usable_part = 0;
    for (std::size_t i = 0; i < demand.weights.size(); ++i) {
        const double disturbance =
            std::max(0.0, view.disturbance[i] + (change == nullptr ? 0 : sign * (*change)[i]));
        usable_part += demand.weights[i] / (1 + disturbance_weight * disturbance);
    }
    return std::max(0.0, view.idle + idle_change) * usable_part;
}

struct move_choice {
    run_row* run = nullptr;
    worker_row* target = nullptr;
    double gain = min_gain;
};

// Returns whether a serving task may be moved now.
bool is_movable(shard_state& shard, const run_row& run, time_point now) {
    if (run.phase != run_phase::running || run.tail_target.count() == 0 || !run.confirmed ||
        now < *run.confirmed + min_stay) {
        return false;
    }
    const auto& job = shard.tables.jobs.at(run.key.task.job);
    if (has_ended(job.phase)) {
        return false;
    }
    const auto* stage = find_stage(shard.tables, run.key.task);
    const auto& step = job.spec.steps[run.key.task.step];
    const auto unavailable = std::count_if(stage->tasks.begin(), stage->tasks.end(),
                                           [](const task_row& task) { return task.runs.empty(); });
    const bool moving =
        std::any_of(stage->tasks.begin(), stage->tasks.end(),
                    [](const task_row& task) { return task.reserved_worker.has_value(); });
    return !step.gang && !moving &&
           (step.max_unavailable == 0 || unavailable < step.max_unavailable);
}

// Updates the smoothed room for fillers of each image in demand.
void measure_rooms(shard_state& shard, const demand_table& demand, time_point now) {
    for (const auto& image : demand.images) {
        double room = 0;
        for (const auto& [id, worker] : shard.tables.workers) {
            if (accepts_starts(shard, worker, now)) {
                room += undisturbing_room(shard, worker, image, now);
            }
        }
        const auto [known, added] = shard.undisturbing_rooms.try_emplace(image, room);
        if (!added) {
            known->second += room_weight * (room - known->second);
        }
    }
}

} // namespace

void regroup_tasks(shard_state& shard, time_point now) {
    if (now < shard.next_regroup) {
        return;
    }
    shard.next_regroup = now + regroup_interval;
    const bool allowed = shard.takeover_complete && shard.starts_allowed &&
                         shard.data_centre_open && !shard.releasing && has_authority(shard, now);
    const auto demand = update_demand(shard);
    measure_rooms(shard, demand, now);
    if (expire_reservations(shard, now) >= max_concurrent_moves || !allowed ||
        demand.images.empty()) {
        return;
    }
    std::map<std::string, effect_vector> effects;
    std::vector<worker_view> views;
    for (auto& [id, worker] : shard.tables.workers) {
        if (!accepts_starts(shard, worker, now)) {
            continue;
        }
        worker_view view{&worker, static_cast<double>(worker.entry.capacity.processors.value),
                         effect_vector(demand.images.size(), 0.0)};
        for (const auto& key : worker.runs) {
            const auto& run = shard.tables.runs.at(key);
            if (run.filler) {
                continue;
            }
            const bool serving = run.tail_target.count() > 0;
            view.idle -=
                static_cast<double>(run.need.processors.value) * (serving ? serving_use : 1.0);
            if (!serving) {
                continue;
            }
            const auto [known, added] = effects.try_emplace(run.image);
            if (added) {
                known->second = find_effects(shard, demand, run.image);
            }
            for (std::size_t i = 0; i < view.disturbance.size(); ++i) {
                view.disturbance[i] += known->second[i];
            }
        }
        views.push_back(std::move(view));
    }
    move_choice best;
    for (const auto& from : views) {
        for (const auto& key : from.worker->runs) {
            auto& run = shard.tables.runs.at(key);
            if (!is_movable(shard, run, now)) {
                continue;
            }
            const auto& own = effects.at(run.image);
            const double use = static_cast<double>(run.need.processors.value) * serving_use;
            const double source_gain = usable_processors(from, demand, &own, -1, use) -
                                       usable_processors(from, demand, nullptr, 0, 0);
            if (source_gain <= best.gain) {
                continue;
            }
            const auto& job = shard.tables.jobs.at(key.task.job);
            const auto& stage = *find_stage(shard.tables, key.task);
            for (const auto& to : views) {
                if (to.worker == from.worker || !can_run_on(job, stage, *to.worker) ||
                    !fits(run.need, free_resources(*to.worker))) {
                    continue;
                }
                const double gain = source_gain + usable_processors(to, demand, &own, 1, -use) -
                                    usable_processors(to, demand, nullptr, 0, 0);
                if (gain > best.gain) {
                    best = {&run, to.worker, gain};
                }
            }
        }
    }
    if (best.run == nullptr) {
        return;
    }
    const auto& key = best.run->key;
    reserve(shard, key.task, best.run->need, *best.target, now);
    request_stop(*best.run, stop_cause::moved, now);
    shard.counters->count("moves");
    shard.log->write("event=task_moved task={}.{}.{}.{} run={} from={} to={} gain_cores={:.1f}",
                     key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                     key.number.value, best.run->worker.value, best.target->entry.target.id.value,
                     best.gain / 1'000);
}

} // namespace fulmar
