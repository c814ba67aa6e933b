// Gangs: their members work only while all of them run under one number. They start in one round
// once none of them can have a run any more, and are stopped if one of them has none.
#include "shard_gangs.hpp"

#include "shard_run_numbers.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Another search of an unchanged shard may succeed, as fillers accept lower paces by then.
constexpr duration search_interval{200};

void stop_members(shard_state& shard, const task_key& member, std::string_view reason,
                  time_point now) {
    const auto* stage = find_stage(shard.tables, member);
    if (stage == nullptr) {
        return;
    }
    std::size_t stopped = 0;
    for (std::uint32_t index = 0; index < stage->tasks.size(); ++index) {
        for (const auto number : stage->tasks[index].runs) {
            auto& run =
                shard.tables.runs.at({{member.job, member.occurrence, member.step, index}, number});
            stopped += run.phase == run_phase::stopping ? 0 : 1;
            request_stop(run, stop_cause::gang, now);
        }
    }
    if (stopped > 0) {
        shard.counters->count("gangs_stopped", reason);
        shard.log->write("event=gang_stopped job={} occurrence={} step={} shard={} runs={} "
                         "reason={}",
                         member.job.value, member.occurrence, member.step, shard.id.value, stopped,
                         reason);
    }
}

// Room that is held for members while workers for the others are chosen.
class held_rooms {
  public:
    held_rooms(shard_state& shard, const job_row& job, const stage_row& stage)
        : shard_(shard)
        , job_(job)
        , stage_(stage) {}
    held_rooms(const held_rooms&) = delete;
    held_rooms(held_rooms&&) = delete;
    held_rooms& operator=(const held_rooms&) = delete;
    held_rooms& operator=(held_rooms&&) = delete;

    ~held_rooms() {
        for (const auto& row : rows_) {
            remove_run(shard_.tables, row.key);
            find_task(shard_.tables, row.key.task)->last_run = row.last_run;
            row.worker->releases = row.releases; // to searches, nothing has changed
        }
    }

    void hold(std::uint32_t index, run_number number, worker_row& worker) {
        run_row run;
        run.key = {{job_.id, stage_.occurrence, stage_.step, index}, number};
        run.worker = worker.entry.target.id;
        apply_step_spec(run, job_.spec.steps[stage_.step]);
        rows_.push_back({run.key, stage_.tasks[index].last_run, &worker, worker.releases});
        add_run(shard_.tables, std::move(run));
    }

  private:
    struct row {
        run_key key;
        run_number last_run;
        worker_row* worker;
        std::uint64_t releases;
    };
    shard_state& shard_;
    const job_row& job_;
    const stage_row& stage_;
    std::vector<row> rows_;
};

// Returns a worker for each member, all of which have room at the same time, or nothing.
std::vector<worker_row*> choose_workers(shard_state& shard, const job_row& job,
                                        const stage_row& stage, run_number number,
                                        const gang_placement& placement) {
    std::vector<worker_row*> chosen;
    held_rooms held(shard, job, stage);
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        auto* worker = placement.choose(index);
        if (worker == nullptr) {
            return {};
        }
        held.hold(index, number, *worker);
        chosen.push_back(worker);
    }
    return chosen;
}

// Has all members resume from the same checkpoint: members that a former owner or another shard
// stored may have different ones.
void share_checkpoint(stage_row& stage) {
    const task_row* last = nullptr;
    for (const auto& task : stage.tasks) {
        if (!task.checkpoint.empty() && (last == nullptr || task.last_run > last->last_run)) {
            last = &task;
        }
    }
    if (last == nullptr) {
        return;
    }
    const auto checkpoint = last->checkpoint;
    for (auto& task : stage.tasks) {
        task.checkpoint = checkpoint;
    }
}

} // namespace

bool may_start_gang(const shard_state& shard, const job_row& job, const stage_row& stage) {
    return stage.waiting.size() == stage.tasks.size() &&
           std::none_of(stage.tasks.begin(), stage.tasks.end(),
                        [&](const task_row& task) { return has_unknown_run(shard, job, task); });
}

void stop_incomplete_gang(shard_state& shard, const job_row& job, const stage_row& stage,
                          time_point now) {
    const bool incomplete =
        stage.waiting.size() < stage.tasks.size() &&
        std::any_of(stage.waiting.begin(), stage.waiting.end(), [&](std::uint32_t index) {
            return !has_unknown_run(shard, job, stage.tasks[index]);
        });
    if (incomplete) {
        stop_members(shard, {job.id, stage.occurrence, stage.step, 0}, "member_without_run", now);
    }
}

void note_unanswered_start(shard_state& shard, const run_row& run) {
    const auto job = shard.tables.jobs.find(run.key.task.job);
    if (job != shard.tables.jobs.end() && job->second.spec.steps[run.key.task.step].gang) {
        shard.tables.unanswered_gang_starts.insert(run.key);
    }
}

void stop_unanswered_gangs(shard_state& shard, time_point now) {
    std::erase_if(shard.tables.unanswered_gang_starts, [&](const run_key& key) {
        const auto found = shard.tables.runs.find(key);
        if (found == shard.tables.runs.end() || found->second.confirmed) {
            return true;
        }
        if (now < found->second.start_sent + shard.timing.gang_wait / 2) {
            return false;
        }
        stop_members(shard, key.task, "start_unanswered", now);
        return true;
    });
}

void place_gang(shard_state& shard, job_row& job, stage_row& stage, const gang_placement& placement,
                time_point now) {
    auto& searches = shard.tables.searches;
    const bool searched =
        stage.failed_search == searches.change && now < stage.failed_search_at + search_interval;
    if (searched || !may_start_gang(shard, job, stage)) {
        return;
    }
    bool released = true;
    for (auto& task : stage.tasks) {
        released = release_whereabouts(shard, job, task, now) && released;
    }
    if (!released) {
        return;
    }
    const auto number = next_run(shard.epoch, stage.tasks);
    const auto workers = choose_workers(shard, job, stage, number, placement);
    if (workers.empty()) {
        stage.failed_search = searches.change;
        stage.failed_search_at = now;
        return;
    }
    share_checkpoint(stage);
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        placement.start(index, number, *workers[index]);
    }
}

bool may_return_gang(const shard_state& shard, const job_row& job, const borrowed_tasks& loan,
                     const stage_row& stage) {
    return std::all_of(loan.tasks.begin(), loan.tasks.end(), [&](std::uint32_t index) {
        const auto& task = stage.tasks[index];
        return task.result != loan_result::pending ||
               (stage.waiting.contains(index) && !has_unknown_run(shard, job, task) &&
                !is_release_pending(job, task));
    });
}

void keep_checkpoint(stage_row& stage, const step_spec& step, const run_key& run,
                     const std::string& checkpoint, bool ended) {
    if (checkpoint.empty()) {
        return;
    }
    if (!step.gang) {
        stage.tasks[run.task.index].checkpoint = checkpoint;
        return;
    }
    // The end of a run has a newer value than what a lost one of the same number last reported.
    if (ended ? run.number < stage.checkpoint_run : run.number <= stage.checkpoint_run) {
        return;
    }
    for (auto& task : stage.tasks) {
        task.checkpoint = checkpoint;
    }
    if (ended) {
        stage.checkpoint_run = run.number;
    }
}

} // namespace fulmar
