// The progress guarantee of short tasks. Placement prefers what fits, what runs at a good pace and
// what can still end in time, so a job can be passed over for as long as work arrives. A job of
// fillers of which nothing has run for a while is therefore entitled to one running task: it comes
// before other short tasks, may run slowly beside serving tasks, and may share the processors of
// the fillers on a worker without any. All other tasks of the job wait for their ordinary turn.
// While work that can end in time is short of room, the guarantee is weak: it would take memory and
// pace from that work. Otherwise an overdue job keeps its place: when its last run ends, its next
// task starts on the same worker, before other short tasks do.
#include "shard_progress.hpp"

#include "shard_internal.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace fulmar {

namespace {

// While fillers that can end in time wait for more than this part of a service's processors, in
// percent, and for some time after that, they are short of room, and entitled runs would take it.
constexpr std::int64_t short_of_room_percent = 10;
constexpr duration short_of_room_after{1'000};

bool is_short_of_room(const shard_state& shard, const service_id& service, time_point now) {
    if (!shard.timely_work_noted) {
        return true; // the first round of an owner would start all jobs that wait
    }
    const auto waited = shard.timely_work_waited.find(service);
    return waited != shard.timely_work_waited.end() && now - waited->second < short_of_room_after;
}

// A job of which nothing runs for this long is entitled. For one that is in time, the pace that
// placement asks for has fallen to its minimum by then, so waiting on improves nothing. Placement
// serves overdue ones last, so each of their steps would wait for as long as it may.
duration idle_limit_of(timeliness expected, bool short_of_room) {
    if (expected == timeliness::in_time) {
        return duration(6'000);
    }
    if (short_of_room) {
        return duration(8'000);
    }
    return expected == timeliness::late ? duration(2'000) : duration(0);
}

// A filler works at full pace until its start is confirmed and its pace has taken effect, about a
// second with the report that shows the effect. Serving tasks that this takes over their targets
// get this long between two of them, unless one takes the place of another.
constexpr duration spacing_beside_serving{2'000};

// Part of a worker's processors, in percent, that the needs of its entitled runs may add up to
// while work in time is short of room. A single one may need more. The rest is left to what is in
// time: at 60 percent it lost a fifth of its credit after bursts. The second limit holds while no
// filler that is in time runs there.
constexpr std::int64_t entitled_percent = 30;
constexpr std::int64_t entitled_percent_alone = 80;

// Lowest predicted pace at which a start is worth the memory that it holds.
constexpr double least_pace = 0.05;

// Maximum number of jobs for which a round looks for a worker, and how many of these are those that
// have waited longest. The others take turns: those first in line may fit nowhere.
constexpr std::size_t searches_per_round = 32;
constexpr std::size_t longest_waits_per_round = 16;

// After a search without result the next one for the same job follows later.
constexpr duration search_pause{500};

// Between two log lines about a job for which no worker was found.
constexpr duration refusal_log_interval{2'000};

// Returns whether a task of the stage may start as the one that its job is entitled to. Those that
// may run on a worker of a predecessor without this owner's knowledge may not.
bool is_entitled_stage(const shard_state& shard, const job_row& job, const stage_row& stage) {
    const auto& step = job.spec.steps[stage.step];
    return stage.open && step.filler && !step.gang &&
           std::any_of(stage.waiting.begin(), stage.waiting.end(), [&](std::uint32_t index) {
               return !has_unknown_run(shard, job, stage.tasks[index]);
           });
}

// Returns the first stage of the job that is entitled, or nullptr.
stage_row* find_entitled_stage(const shard_state& shard, job_row& job) {
    for (auto& [number, occurrence] : job.occurrences) {
        const auto stage =
            std::find_if(occurrence.stages.begin(), occurrence.stages.end(),
                         [&](const auto& row) { return is_entitled_stage(shard, job, row); });
        if (stage != occurrence.stages.end()) {
            return &*stage;
        }
    }
    return nullptr;
}

// Since when nothing of the job has run by the wall-clock times that came with its waiting tasks,
// over changes of owners and loans. Gives them the time if they have none.
time_point begin_idle(const shard_state& shard, job_row& job, time_point now) {
    unix_time earliest = shard.wall_clock;
    const auto for_each_waiting = [&](auto&& visit) {
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& stage : occurrence.stages) {
                if (!is_entitled_stage(shard, job, stage)) {
                    continue;
                }
                for (const auto index : stage.waiting) {
                    visit(stage.tasks[index].waiting_since);
                }
            }
        }
    };
    for_each_waiting([&](const unix_time& since) {
        earliest = since.value > 0 ? std::min(earliest, since) : earliest;
    });
    for_each_waiting([&](unix_time& since) { since = earliest; });
    return now - duration(shard.wall_clock.value - earliest.value);
}

void end_idle(job_row& job) {
    job.idle_since.reset();
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            for (const auto index : stage.waiting) {
                stage.tasks[index].waiting_since = {};
            }
        }
    }
}

// Follows since when nothing of the job has run although a task of it waits. Returns whether it is
// entitled to a run, and to a search for its worker now.
bool is_entitled(const shard_state& shard, job_row& job, time_point now) {
    bool waits = false;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            if (!stage.runs_by_worker.empty()) {
                if (job.idle_since) {
                    end_idle(job);
                }
                return false;
            }
            waits = waits || is_entitled_stage(shard, job, stage);
        }
    }
    if (!waits) {
        job.idle_since.reset(); // the tasks of a loan keep the time
        return false;
    }
    if (!job.idle_since) {
        job.idle_since = begin_idle(shard, job, now);
    }
    return now >= job.next_entitled_search &&
           now - *job.idle_since >= idle_limit_of(predict_timeliness(shard, job),
                                                  is_short_of_room(shard, job.queue.service, now));
}

// What a worker offers to entitled tasks.
struct worker_offer {
    bool serves = false;
    std::int64_t entitled = 0; // processors that its entitled runs need
    std::int64_t demand = 0;   // processors that its fillers use at their paces
    std::int64_t idle = 0;     // processors that other tasks leave to fillers
};

worker_offer inspect_worker(const shard_state& shard, const worker_row& worker) {
    worker_offer offer;
    for (const auto* run : worker.run_rows) {
        offer.serves = offer.serves || run->tail_target.count() > 0;
        const auto need = run->need.processors.value;
        offer.entitled += run->entitled ? need : 0;
        offer.demand += run->filler ? need * run->pace_target / 100 : 0;
    }
    offer.idle = filler_room(shard, worker) + offer.demand;
    return offer;
}

// Returns whether the worker's entitled runs leave no share for another one.
bool is_crowded(const shard_state& shard, const worker_row& worker, std::int64_t entitled,
                std::int64_t need, time_point now) {
    const auto capacity = worker.entry.capacity.processors.value;
    if (entitled == 0 || !is_short_of_room(shard, worker.entry.service, now) ||
        entitled + need <= capacity * entitled_percent / 100) {
        return false;
    }
    return entitled + need > capacity * entitled_percent_alone / 100 ||
           std::any_of(worker.run_rows.begin(), worker.run_rows.end(), [&](const run_row* run) {
               const auto job = shard.tables.jobs.find(run->key.task.job);
               return run->filler && job != shard.tables.jobs.end() &&
                      predict_timeliness(shard, job->second) == timeliness::in_time;
           });
}

// Of the workers on which an entitled task may run, how many refuse it and for what.
struct refusals {
    std::size_t workers = 0;
    std::size_t no_memory = 0; // or accelerators
    std::size_t busy = 0;      // no processors are left
    std::size_t spaced = 0;    // the last entitled start beside serving tasks was too recent
    std::size_t crowded = 0;   // its entitled runs have their share
    std::size_t slow = 0;      // the predicted pace is too low
    double best_pace = 0;
};

// Returns the pace, 0 to 1, that an entitled task could have on a worker; 0 if it can't start
// there.
double predict_entitled_pace(const shard_state& shard, const job_row& job, const worker_row& worker,
                             const step_spec& step, const task_key& key, time_point now,
                             refusals& refused) {
    auto free = free_resources(worker, &key);
    free.processors = step.need.processors;
    if (!fits(step.need, free)) {
        ++refused.no_memory;
        return 0;
    }
    const auto offer = inspect_worker(shard, worker);
    const auto need = std::max<std::int64_t>(1, step.need.processors.value);
    if (offer.idle <= 0) {
        ++refused.busy;
        return 0;
    }
    if (offer.serves && now < worker.next_entitled_start &&
        (is_short_of_room(shard, job.queue.service, now) ||
         !leaves_slack_at_start(shard, worker, step, now))) {
        ++refused.spaced;
        return 0;
    }
    if (is_crowded(shard, worker, offer.entitled, need, now)) {
        ++refused.crowded;
        return 0;
    }
    const auto share = static_cast<double>(offer.idle) / static_cast<double>(offer.demand + need);
    const auto pace = std::min(share, predict_pace(shard, worker, step, now));
    refused.slow += pace < least_pace ? 1 : 0;
    refused.best_pace = std::max(refused.best_pace, pace);
    return pace;
}

void log_refusals(const shard_state& shard, job_row& job, const task_key& key,
                  const refusals& refused, time_point now) {
    if (now < job.next_entitled_log) {
        return;
    }
    job.next_entitled_log = now + refusal_log_interval;
    shard.log->write(
        "event=entitled_waits task={}.{}.{}.{} shard={} idle_ms={} expected={} "
        "workers={} no_memory={} busy={} spaced={} crowded={} slow={} best_pace={:.2f}",
        key.job.value, key.occurrence, key.step, key.index, shard.id.value,
        job.idle_since ? (now - *job.idle_since).count() : 0,
        to_string(predict_timeliness(shard, job)), refused.workers, refused.no_memory, refused.busy,
        refused.spaced, refused.crowded, refused.slow, refused.best_pace);
}

} // namespace

std::vector<entitled_job> find_continued(shard_state& shard, const std::vector<ended_filler>& ended,
                                         time_point now) {
    std::vector<entitled_job> found;
    std::set<job_id> seen;
    for (const auto& last : ended) {
        const auto worker = shard.tables.workers.find(last.worker);
        if (!shard.active.contains(last.job) || worker == shard.tables.workers.end() ||
            !seen.insert(last.job).second) {
            continue;
        }
        auto& job = shard.tables.jobs.at(last.job);
        job.next_entitled_search = now; // it has run since the last one
        if (is_short_of_room(shard, job.queue.service, now) || !is_entitled(shard, job, now) ||
            predict_timeliness(shard, job) != timeliness::overdue) {
            continue;
        }
        auto* stage = find_entitled_stage(shard, job);
        if (stage == nullptr) {
            continue;
        }
        // A larger task, or one of another image, isn't what the worker had a place for.
        const auto& step = job.spec.steps[stage->step];
        if (fits(step.need, last.need) && step.image == last.image) {
            found.push_back({&job, stage, &worker->second});
        }
    }
    return found;
}

void note_timely_work(shard_state& shard, const std::map<service_id, std::int64_t>& waiting,
                      time_point now) {
    shard.timely_work_noted = true;
    std::map<service_id, std::int64_t> processors;
    for (const auto& [id, worker] : shard.tables.workers) {
        processors[worker.entry.service] += worker.entry.capacity.processors.value;
    }
    std::erase_if(shard.timely_work_waited,
                  [&](const auto& row) { return now - row.second >= short_of_room_after; });
    for (const auto& [service, wanted] : waiting) {
        if (wanted * 100 > processors[service] * short_of_room_percent) {
            shard.timely_work_waited[service] = now;
        }
    }
}

worker_row* continue_on(const shard_state& shard, const job_row& job, const stage_row& stage,
                        std::uint32_t index, worker_row& place, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const task_key key{job.id, stage.occurrence, stage.step, index};
    auto free = free_resources(place, &key);
    free.processors = step.need.processors;
    const bool may_start = accepts_starts(shard, place, now) &&
                           !is_avoided(stage.tasks[index], place.entry.target.id, now) &&
                           can_run_on(job, stage, place) && fits(step.need, free) &&
                           predict_pace(shard, place, step, now) >= least_pace;
    return may_start ? &place : nullptr;
}

std::vector<entitled_job> find_entitled(shard_state& shard, time_point now) {
    std::vector<entitled_job> found;
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (!is_entitled(shard, job, now)) {
            continue;
        }
        if (auto* stage = find_entitled_stage(shard, job)) {
            found.push_back({&job, stage});
        }
    }
    std::sort(found.begin(), found.end(), [](const entitled_job& a, const entitled_job& b) {
        return std::tie(b.job->queue.priority, *a.job->idle_since, a.job->id) <
               std::tie(a.job->queue.priority, *b.job->idle_since, b.job->id);
    });
    if (found.size() > searches_per_round) {
        const auto rest = found.begin() + longest_waits_per_round;
        std::stable_sort(rest, found.end(), [](const entitled_job& a, const entitled_job& b) {
            return a.job->next_entitled_search < b.job->next_entitled_search;
        });
        found.resize(searches_per_round);
    }
    return found;
}

worker_row* choose_entitled_worker(shard_state& shard, job_row& job, const stage_row& stage,
                                   std::uint32_t index, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const auto& task = stage.tasks[index];
    const task_key key{job.id, stage.occurrence, stage.step, index};
    worker_row* best = nullptr;
    double best_pace = least_pace;
    refusals refused;
    for (auto& [id, worker] : shard.tables.workers) {
        ++shard.placement_checks;
        if (!accepts_starts(shard, worker, now) || is_avoided(task, id, now) ||
            !can_run_on(job, stage, worker)) {
            continue;
        }
        ++refused.workers;
        const auto pace = predict_entitled_pace(shard, job, worker, step, key, now, refused);
        if (pace >= best_pace && (best == nullptr || pace > best_pace)) {
            best = &worker;
            best_pace = pace;
        }
    }
    if (best == nullptr) {
        job.next_entitled_search = now + search_pause;
        log_refusals(shard, job, key, refused, now);
    }
    return best;
}

void note_entitled_start(shard_state& shard, job_row& job, const run_key& key, worker_row& worker,
                         time_point now) {
    auto& run = shard.tables.runs.at(key);
    run.entitled = true;
    worker.next_entitled_start = now + spacing_beside_serving;
    shard.counters->count("entitled_starts");
    shard.log->write("event=entitled_start task={}.{}.{}.{} run={} worker={} idle_ms={} "
                     "expected={}",
                     key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                     key.number.value, worker.entry.target.id.value,
                     job.idle_since ? (now - *job.idle_since).count() : 0,
                     to_string(predict_timeliness(shard, job)));
    end_idle(job);
}

} // namespace fulmar
