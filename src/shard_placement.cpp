// Placement: chooses which waiting task starts on which worker.
#include "shard_acknowledgements.hpp"
#include "shard_gangs.hpp"
#include "shard_internal.hpp"
#include "shard_progress.hpp"
#include "shard_run_numbers.hpp"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <utility>

namespace fulmar {

namespace {

// Percent of their reserved processors that long-running tasks are assumed to use. Serving tasks
// use about half of what they reserve; fillers run on the rest.
constexpr std::int64_t long_running_use_percent = 50;

// Interval of rounds over all stages that wait. They lend tasks to other shards, whose rooms are
// reported at a similar interval.
constexpr duration complete_round_interval{200};

// A filler starts only on a worker where it may run at this share of full pace or more. The limit
// decreases with each second that it waits, down to lowest_min_pace.
constexpr double initial_min_pace = 0.7;
constexpr double min_pace_decrease_per_second = 0.05;
constexpr double lowest_min_pace = 0.35;

// Weight of the predicted pace, 0 to 1, against a worker's free processors in thousandths of its
// capacity. Full pace counts as much as a worker whose processors are all free.
constexpr double pace_weight = 1'000;

// Weight of the share that serving tasks of other images hold on a worker, in thousandths of its
// capacity. Serving tasks of one image are placed together, so that the fillers that disturb them
// find other workers without such tasks.
constexpr double other_image_weight = 1'500;

// A stage with tasks to start.
struct candidate {
    job_row* job = nullptr;
    stage_row* stage = nullptr;
    std::int32_t priority = 0;
    bool evicts = false; // short runs may be evicted for it, so none should start before
    timeliness expected = timeliness::in_time;
    unix_time accepted;
};

double min_pace_of(const stage_row& stage, time_point now) {
    const auto waited = std::chrono::duration<double>(now - *stage.ready_since).count();
    return std::max(lowest_min_pace, initial_min_pace - min_pace_decrease_per_second * waited);
}

// Returns the number of the last change of a worker that may have given room to tasks of a step.
std::uint64_t last_grown(const worker_row& worker, const step_spec& step) {
    return step.filler ? worker.last_view.filler_grown : worker.last_view.grown;
}

// Records what decides whether tasks fit on a worker. Returns whether its room for long-running
// tasks has grown.
bool view_worker(shard_state& shard, worker_row& worker, time_point now) {
    room_view next;
    next.accepts = accepts_starts(shard, worker, now);
    next.free = free_resources(worker);
    next.long_running = long_running_room(shard.tables, worker);
    next.filler = filler_room(shard, worker);
    next.alone = worker.filler_demand == 0;
    next.serves = std::any_of(worker.run_rows.begin(), worker.run_rows.end(),
                              [](const run_row* run) { return run->tail_target.count() > 0; });
    next.releases = worker.releases;
    next.measured = worker.clock_at;
    next.service = worker.entry.service;
    next.labels = worker.entry.labels;
    const auto& last = worker.last_view;
    const bool grown =
        next.accepts && (!last.accepts || !fits(next.long_running, last.long_running));
    update_view(shard.tables.searches, worker.last_view, std::move(next));
    return grown;
}

// Returns whether the room for long-running tasks has grown on any worker.
bool view_workers(shard_state& shard, time_point now) {
    bool grown = false;
    for (auto& [id, worker] : shard.tables.workers) {
        grown = view_worker(shard, worker, now) || grown;
    }
    return grown;
}

// Returns whether a search for room for the stage may have another result than the last one.
// Stages of long-running tasks are always candidates: they have to run again within seconds.
bool may_start(const shard_state& shard, const job_row& job, const stage_row& stage,
               time_point now) {
    const auto& step = job.spec.steps[stage.step];
    if (step.long_running) {
        return true;
    }
    const auto* failed = find_failed(shard.tables.searches, job.queue.service, step,
                                     step.filler ? min_pace_of(stage, now) : 0);
    return failed == nullptr || failed->change != shard.tables.searches.change;
}

// Returns whether a loan of the job isn't stored yet. A successor would not expect its tasks to run
// here.
bool has_unstored_loan(const job_row& job) {
    return std::any_of(job.borrowed.begin(), job.borrowed.end(), [&](const borrowed_tasks& loan) {
        return loan.version > job.stored_version;
    });
}

// Returns whether any waiting task of a stage may start or be lent. The others may run on a worker
// of a predecessor without this owner's knowledge.
bool has_startable(const shard_state& shard, const job_row& job, const stage_row& stage) {
    return std::any_of(stage.waiting.begin(), stage.waiting.end(), [&](std::uint32_t index) {
        return !has_unknown_run(shard, job, stage.tasks[index]);
    });
}

// Returns the stages with tasks that wait, in the order in which they get room. If not `all`, only
// those of which tasks may start.
std::vector<candidate> find_candidates(shard_state& shard, bool all, time_point now) {
    std::vector<candidate> found;
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (has_unstored_loan(job)) {
            continue;
        }
        std::optional<timeliness> expected;
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& stage : occurrence.stages) {
                if (!stage.open || !has_startable(shard, job, stage)) {
                    continue;
                }
                if (!stage.ready_since) {
                    stage.ready_since = now;
                }
                if (!all && !may_start(shard, job, stage, now)) {
                    continue;
                }
                if (!expected) {
                    expected = predict_timeliness(shard, job);
                }
                const bool evicts = job.spec.steps[stage.step].long_running &&
                                    now - *stage.ready_since >= eviction_wait;
                found.push_back(
                    {&job, &stage, job.queue.priority, evicts, *expected, job.accepted});
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const candidate& a, const candidate& b) {
        return std::tie(a.priority, b.evicts, a.expected, a.accepted, a.job->id, a.stage->step) <
               std::tie(b.priority, a.evicts, b.expected, b.accepted, b.job->id, b.stage->step);
    });
    return found;
}

// Returns the processors that waiting fillers of jobs that can end in time need.
std::map<service_id, std::int64_t> sum_timely_work(const std::vector<candidate>& candidates) {
    std::map<service_id, std::int64_t> processors;
    for (const auto& next : candidates) {
        const auto& step = next.job->spec.steps[next.stage->step];
        if (step.filler && next.expected == timeliness::in_time) {
            processors[next.job->queue.service] +=
                step.need.processors.value * static_cast<std::int64_t>(next.stage->waiting.size());
        }
    }
    return processors;
}

// Returns whether a task fits into the worker's free resources. A filler may also use less than it
// needs on a worker without other fillers.
bool fits_worker(const shard_state& shard, const worker_row& worker, const step_spec& step,
                 const task_key& task) {
    auto free = free_resources(worker, &task);
    if (step.filler) {
        const auto room = filler_room(shard, worker);
        const bool alone = worker.filler_demand == 0;
        if (room < step.need.processors.value && !(alone && room > 0)) {
            return false;
        }
        free.processors = step.need.processors;
    }
    return fits(step.need, free);
}

// Returns the processors that would stay free on the worker, from 0 to 1000 thousandths of its
// capacity. For a filler, those that fillers may use.
std::int64_t score_worker(const shard_state& shard, const worker_row& worker,
                          const step_spec& step) {
    const auto capacity = std::max<std::int64_t>(1, worker.entry.capacity.processors.value);
    const auto left =
        step.filler ? filler_room(shard, worker) : free_resources(worker).processors.value;
    return (left - step.need.processors.value) * 1000 / capacity;
}

// Chooses the worker for one task of a stage. Returns nullptr if no worker suits.
worker_row* choose_worker(shard_state& shard, const candidate& next, const step_spec& step,
                          std::uint32_t index, time_point now) {
    const auto& task = next.stage->tasks[index];
    const task_key key{next.job->id, next.stage->occurrence, next.stage->step, index};
    worker_row* best = nullptr;
    std::int64_t best_score = 0;
    const double min_pace = step.filler ? min_pace_of(*next.stage, now) : 0;
    const auto& service = next.job->queue.service;
    if (task.reserved_worker) {
        // Room that is reserved for the task itself isn't part of any other search.
        const auto reserved = shard.tables.workers.find(*task.reserved_worker);
        ++shard.placement_checks;
        if (reserved != shard.tables.workers.end() &&
            accepts_starts(shard, reserved->second, now) &&
            !is_avoided(task, reserved->first, now) &&
            can_run_on(*next.job, *next.stage, reserved->second) &&
            fits_worker(shard, reserved->second, step, key)) {
            return &reserved->second;
        }
    }
    // Any other worker would have to be stored first.
    for (const auto& id : task.planned_on) {
        const auto planned = shard.tables.workers.find(id);
        if (planned != shard.tables.workers.end() && accepts_starts(shard, planned->second, now) &&
            !is_avoided(task, id, now) && can_run_on(*next.job, *next.stage, planned->second) &&
            fits_worker(shard, planned->second, step, key)) {
            return &planned->second;
        }
    }
    const auto* known = find_failed(shard.tables.searches, service, step, min_pace);
    if (known != nullptr && known->change == shard.tables.searches.change) {
        return nullptr;
    }
    failed_search failed{step.need, known == nullptr ? -1 : known->best_pace,
                         shard.tables.searches.change, known == nullptr ? now : known->complete};
    const auto since = known == nullptr ? 0 : known->change;
    bool excluded = false; // a worker with room was passed over because of this task or stage
    for (auto& [id, worker] : shard.tables.workers) {
        if (known != nullptr && last_grown(worker, step) <= since) {
            continue;
        }
        ++shard.placement_checks;
        if (!accepts_starts(shard, worker, now) || !can_host(*next.job, step, worker) ||
            !fits_worker(shard, worker, step, key)) {
            continue;
        }
        const double pace = step.filler ? predict_pace(shard, worker, step, now) : 1;
        if (step.filler && pace < min_pace) {
            failed.best_pace = std::max(failed.best_pace, pace);
            continue;
        }
        // Starts that wait for the store count as well.
        if (is_avoided(task, id, now) || !can_run_on(*next.job, *next.stage, worker) ||
            (records_starts(step) && is_spread_full(step.spread_limit, next.stage, worker, key))) {
            excluded = true;
            continue;
        }
        auto score = score_worker(shard, worker, step);
        if (step.filler) {
            score += static_cast<std::int64_t>(pace * pace_weight);
        } else if (step.long_running && step.tail_target.count() > 0) {
            // Prefers the worker that would have the fewest processors left.
            score =
                -score - static_cast<std::int64_t>(other_serving_share(shard, worker, step.image) *
                                                   other_image_weight);
        }
        if (best == nullptr || score > best_score) {
            best = &worker;
            best_score = score;
        }
    }
    // Room that is held for other members of a gang is free for all other tasks.
    if (best == nullptr && !excluded && !step.gang) {
        record_failed(shard.tables.searches, service, step, failed);
    }
    return best;
}

// Sends the start command for one task.
void start_task(shard_state& shard, const candidate& next, std::uint32_t index, run_number number,
                worker_row& worker, time_point now, shard_actions& actions) {
    const auto& step = next.job->spec.steps[next.stage->step];
    const auto& task = next.stage->tasks[index];
    if (!refuse_acknowledgement(shard, worker)) {
        return;
    }
    start_command command;
    command.run = {{next.job->id, next.stage->occurrence, next.stage->step, index}, number};
    command.payload = next.job->spec.payload;
    command.token = make_token(shard, worker);
    command.lease_until = next_lease(shard, worker, now);
    command.checkpoint = task.checkpoint;
    worker.lease_until = std::max(worker.lease_until, command.lease_until);
    note_lease_sent(shard.timing, worker, now);
    run_row run;
    run.key = command.run;
    run.worker = worker.entry.target.id;
    apply_step_spec(run, step);
    run.start_sent = now;
    run.start_fence = worker.fence;
    run.start_in_flight = true;
    run.starts_sent = 1;
    run.command_lease = command.lease_until;
    run.checkpoint = task.checkpoint;
    add_run(shard.tables, std::move(run));
    shard.log->write("event=start task={}.{}.{}.{} run={} worker={} accepted_ms={} load_age_ms={}",
                     command.run.task.job.value, command.run.task.occurrence, command.run.task.step,
                     index, number.value, worker.entry.target.id.value, next.accepted.value,
                     (now - worker.clock_at).count());
    actions.starts.push_back({worker.entry.target, std::move(command)});
}

// Returns the waiting tasks of a stage that may start, those with reserved room first.
std::vector<std::uint32_t> order_waiting(const shard_state& shard, const job_row& job,
                                         const stage_row& stage) {
    std::vector<std::uint32_t> order(stage.waiting.begin(), stage.waiting.end());
    std::erase_if(order, [&](std::uint32_t index) {
        return has_unknown_run(shard, job, stage.tasks[index]);
    });
    std::stable_partition(order.begin(), order.end(), [&](std::uint32_t index) {
        return stage.tasks[index].reserved_worker.has_value();
    });
    return order;
}

// Returns whether a short task waits for the store to have it as not parked. Room for it has the
// first tasks of its stage released, of one stage for each service and round: they all find the
// same room.
bool awaits_release(shard_state& shard, const candidate& next, const task_row& task,
                    std::uint32_t index, std::set<service_id>& released, time_point now) {
    const auto& step = next.job->spec.steps[next.stage->step];
    if (step.long_running || step.gang) {
        return false;
    }
    const auto& service = next.job->queue.service;
    if (task.parked && !released.contains(service) &&
        choose_worker(shard, next, step, index, now) != nullptr) {
        constexpr std::size_t released_at_once = 32;
        release_first(shard, *next.job, *next.stage, released_at_once, now);
        release_whereabouts(shard, *next.job, next.stage->tasks[index], now);
        released.insert(service);
    }
    return task.parked || is_release_pending(*next.job, task);
}

// Starts as many waiting tasks of a stage as fit, and reserves room for long-running ones.
void place_stage(shard_state& shard, const candidate& next, std::set<service_id>& released,
                 time_point now, shard_actions& actions) {
    const auto& step = next.job->spec.steps[next.stage->step];
    if (step.gang) {
        place_gang(
            shard, *next.job, *next.stage,
            {[&](std::uint32_t index) { return choose_worker(shard, next, step, index, now); },
             [&](std::uint32_t index, run_number number, worker_row& worker) {
                 start_task(shard, next, index, number, worker, now, actions);
                 if (step.filler) {
                     plan_paces(shard, worker, now);
                 }
                 view_worker(shard, worker, now);
             }},
            now);
        return;
    }
    for (const auto index : order_waiting(shard, *next.job, *next.stage)) {
        auto& task = next.stage->tasks[index];
        if (awaits_release(shard, next, task, index, released, now)) {
            continue;
        }
        auto* worker = choose_worker(shard, next, step, index, now);
        const task_key key{next.job->id, next.stage->occurrence, next.stage->step, index};
        if (worker == nullptr &&
            reserve_for_long_running(shard, *next.job, *next.stage, key, now)) {
            continue;
        }
        if (worker == nullptr && task.last_failed_on) {
            continue; // another task may start on the worker where this one failed
        }
        if (worker == nullptr) {
            return;
        }
        if (!plan_start(shard, *next.job, step, task, worker->entry.target.id, now)) {
            const bool reserves = records_starts(step)
                                      ? task.reserved_worker != worker->entry.target.id
                                      : !task.reserved_worker && !task.reservation_expired;
            if (reserves) {
                reserve(shard, key, step.need, *worker, now); // until that is stored
            }
            continue;
        }
        start_task(shard, next, index, next_run(shard.epoch, task), *worker, now, actions);
        if (step.filler) {
            plan_paces(shard, *worker, now);
        }
        view_worker(shard, *worker, now);
    }
}

// Starts one task of each of the jobs, which are entitled to it.
void place_entitled(shard_state& shard, const std::vector<entitled_job>& entitled, time_point now,
                    shard_actions& actions) {
    for (const auto& [job, stage, place] : entitled) {
        const auto order = order_waiting(shard, *job, *stage);
        if (order.empty() || has_unstored_loan(*job)) {
            continue;
        }
        const auto& tasks = stage->tasks;
        const auto released = std::find_if(
            order.begin(), order.end(), [&tasks](std::uint32_t row) { return !tasks[row].parked; });
        const auto index = released == order.end() ? order.front() : *released;
        auto* worker = place == nullptr ? choose_entitled_worker(shard, *job, *stage, index, now)
                                        : continue_on(shard, *job, *stage, index, *place, now);
        if (worker == nullptr || !release_whereabouts(shard, *job, stage->tasks[index], now)) {
            continue;
        }
        const candidate next{job, stage, job->queue.priority, false, {}, job->accepted};
        const auto number = next_run(shard.epoch, stage->tasks[index]);
        start_task(shard, next, index, number, *worker, now, actions);
        if (shard.ownership_lost) {
            return;
        }
        const task_key key{job->id, stage->occurrence, stage->step, index};
        note_entitled_start(shard, *job, {key, number}, *worker, now);
        plan_paces(shard, *worker, now);
        view_worker(shard, *worker, now);
    }
}

// Returns whether a start that got no reply may be sent again.
bool may_repeat_start(const shard_state& shard, const run_row& run, const worker_row& worker,
                      time_point now) {
    const bool allowed = shard.starts_allowed && shard.data_centre_open && !shard.releasing &&
                         has_authority(shard, now);
    return allowed && run.phase == run_phase::unconfirmed && worker.inventoried &&
           worker.reachability == reachability_state::reachable && is_usable(shard, worker) &&
           !awaits_entry(worker, now);
}

} // namespace

room_search inspect_rooms(const shard_state& shard, const job_row& job, const stage_row& stage,
                          time_point now) {
    const auto& step = job.spec.steps[stage.step];
    room_search found;
    found.min_pace = step.filler && stage.ready_since ? min_pace_of(stage, now) : 0;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (!accepts_starts(shard, worker, now) || !can_run_on(job, stage, worker)) {
            continue;
        }
        ++found.workers;
        const bool serves = worker.last_view.serves;
        const auto room =
            step.filler ? filler_room(shard, worker) : free_resources(worker).processors.value;
        auto& most = serves ? found.most_beside_serving : found.most_elsewhere;
        most = {std::max(most.value, room)};
        found.serving += serves ? 1 : 0;
        if (!fits_worker(shard, worker, step, {job.id, stage.occurrence, stage.step, 0})) {
            continue;
        }
        ++found.fitting;
        const double pace = step.filler ? predict_pace(shard, worker, step, now) : 1;
        found.best_pace = std::max(found.best_pace, pace);
        found.paced_out += pace < found.min_pace ? 1 : 0;
    }
    return found;
}

void repeat_starts(shard_state& shard, time_point now, shard_actions& actions) {
    const auto repeated = std::exchange(shard.repeated_starts, {});
    for (const auto& key : repeated) {
        const auto found = shard.tables.runs.find(key);
        if (found == shard.tables.runs.end()) {
            continue;
        }
        auto& run = found->second;
        auto& worker = shard.tables.workers.at(run.worker);
        if (!may_repeat_start(shard, run, worker, now)) {
            continue; // the next list of runs has it tried again
        }
        const auto& job = shard.tables.jobs.at(key.task.job);
        if (!can_host(job, job.spec.steps[key.task.step], worker)) {
            request_stop(run, stop_cause::duplicate, now);
            continue;
        }
        if (!refuse_acknowledgement(shard, worker)) {
            return;
        }
        run.phase = run_phase::starting;
        run.start_sent = now;
        run.start_fence = worker.fence;
        run.start_in_flight = true;
        ++run.starts_sent;
        start_command command;
        command.run = key;
        command.payload = job.spec.payload;
        command.token = make_token(shard, worker);
        command.lease_until = next_lease(shard, worker, now);
        command.checkpoint = run.checkpoint;
        worker.lease_until = std::max(worker.lease_until, command.lease_until);
        run.command_lease = command.lease_until;
        note_lease_sent(shard.timing, worker, now);
        shard.counters->count("starts_repeated");
        shard.log->write("event=start_repeated task={}.{}.{}.{} run={} worker={} starts_sent={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, run.worker.value, run.starts_sent);
        actions.starts.push_back({worker.entry.target, std::move(command)});
    }
}

std::int64_t filler_room(const shard_state& /*shard*/, const worker_row& worker) {
    std::int64_t idle = worker.entry.capacity.processors.value;
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        if (run.filler) {
            idle -= run.need.processors.value * run.pace_target / 100;
            continue;
        }
        idle -=
            run.need.processors.value * (run.long_running ? long_running_use_percent : 100) / 100;
    }
    return idle;
}

void place_tasks(shard_state& shard, time_point now, shard_actions& actions) {
    const auto ended = std::exchange(shard.tables.ended_fillers, {});
    if (shard.releasing || !has_authority(shard, now)) {
        return;
    }
    ++shard.placement_rounds;
    const bool allowed = shard.starts_allowed && shard.data_centre_open;
    auto& searches = shard.tables.searches;
    expire_failed(searches, now);
    if (view_workers(shard, now)) {
        // Before short tasks start there: they would be evicted for these claims.
        if (allowed) {
            reserve_in_order(shard, now);
        }
        shard.next_room_service = now;
        serve_room_requests(shard, now);
    }
    // The other rounds only serve stages that may start, and lend no tasks of others.
    const bool complete = !shard.data_centre_open || now >= searches.next_complete_round;
    if (complete) {
        searches.next_complete_round = now + complete_round_interval;
    }
    const auto candidates = find_candidates(shard, complete, now);
    if (complete && allowed) {
        std::vector<waiting_stage> order;
        order.reserve(candidates.size());
        for (const auto& next : candidates) {
            order.push_back({next.job, next.stage});
        }
        release_next(shard, order, now);
    }
    if (allowed) {
        place_entitled(shard, find_continued(shard, ended, now), now, actions);
    }
    if (complete && allowed) {
        place_entitled(shard, find_entitled(shard, now), now, actions);
    }
    std::set<service_id> released; // services of which tasks were released in this round
    for (const auto& next : candidates) {
        if (next.job->spec.steps[next.stage->step].gang) {
            stop_incomplete_gang(shard, *next.job, *next.stage, now);
        }
        if (allowed) {
            place_stage(shard, next, released, now, actions);
        }
        if (!next.stage->waiting.empty()) {
            lend_tasks(shard, *next.job, *next.stage, now);
        }
        for (const auto index : next.stage->waiting) {
            // Lending was tried, so the task may reserve room again.
            next.stage->tasks[index].reservation_expired = false;
        }
        if (next.stage->waiting.empty()) {
            next.stage->ready_since.reset();
        }
    }
    if (complete) {
        note_timely_work(shard, sum_timely_work(candidates), now);
    }
    view_workers(shard, now); // reservations were made and dropped
}

} // namespace fulmar
