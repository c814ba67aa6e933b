// Sharing of workers: keeps the tail latencies of serving tasks below their targets by setting the
// pace of the fillers on the same worker. The load of a serving task varies within seconds, so a
// filler that didn't disturb it before may disturb it for a while.
#include "shard_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <tuple>

namespace fulmar {

namespace {

// Minimum slack that fillers leave to a serving task; 1 is exactly at its target.
constexpr double min_slack = 1.15;

// Time for which expected slack is predicted. A report covers the last half second, and the next
// one follows half a second later.
constexpr duration lookahead{700};

// A smaller effect on slack is treated as noise.
constexpr double min_effect = 2.0;

// Fillers may keep a serving task over its target for at most this long, whatever the estimates
// say.
constexpr duration interference_limit{4'000};

// The parts of that time that are not for waiting: the first measurement that shows the excess
// covers half a second and arrives up to half a second later; a decision is taken with a report, so
// up to half a second late; and the control thread may be busy for 0.7 s before it sends the new
// pace, which takes effect 0.1 s later.
constexpr duration detection_time{1'000};
constexpr duration report_interval{500};
constexpr duration reaction_time{800};

// After these times over the target, first the fillers that are estimated to disturb the task and
// then all fillers on the worker are paused.
constexpr duration blamed_over_target_limit{1'200};
constexpr duration over_target_limit =
    interference_limit - detection_time - report_interval - reaction_time;

// A single measurement near the target has an error of about a fifth, so that a task that is over
// its target for seconds shows some measurements below it. The slack is therefore smoothed: the
// newest measurement has a weight of one half, and slack above slack_limit counts as slack_limit. A
// task counts as over its target from the first measurement that shows it until its smoothed slack
// reaches recovered_slack, which is 1 plus half of that error.
constexpr double slack_weight = 0.5;
constexpr double slack_limit = 1.2;
constexpr double recovered_slack = 1.1;

// Values of `pace_confirmed` besides a pace. An unknown pace is sent at once, a refused one after
// the worker's next report.
constexpr int unknown_pace = -1;
constexpr int refused_pace = -2;

// A paused filler that uses more than this share of its processors, in percent, isn't paused.
constexpr int paused_use_percent = 10;

// A pause takes effect 0.1 s after it was confirmed, and reports cover half a second, so earlier
// ones still show work. Sending it again before that would put its effect off each time.
constexpr duration pause_report_time{600};

// A serving task that is over its target for this long is logged with each report, with at most
// this many of the fillers beside it.
constexpr duration logged_over_target{1'500};
constexpr std::size_t logged_fillers = 6;

// A filler at this pace or less counts as throttled. It is stopped after this time if there is room
// for it elsewhere.
constexpr int throttled_percent = 10;
constexpr duration throttled_time_limit{900};

// The same for a run that started because nothing of its job ran: elsewhere it would have to wait
// again.
constexpr duration entitled_throttled_limit{8'000};

// A filler without checkpoints is moved only while its progress, in percent, is below this.
constexpr int expendable_progress_percent = 15;

// Time from the confirmation of a start until reports show the pace that was set then.
constexpr duration start_pace_time{1'000};

// Minimum change of a pace, in percent. Changes to 0 or 100 are always made.
constexpr int min_pace_change = 10;

// Returns the time since `moment`, or 0 if it isn't set.
duration time_since(const std::optional<time_point>& moment, time_point now) {
    return moment ? now - *moment : duration(0);
}

double slack_of(const run_row& run) {
    return static_cast<double>(run.tail_target.count()) / static_cast<double>(run.measurement);
}

// Returns whether the run is a serving task whose tail latency the worker reports.
bool is_serving(const run_row& run) {
    return run.tail_target.count() > 0 && run.phase == run_phase::running && run.measurement > 0;
}

double share_of(const worker_row& worker, std::int64_t processors) {
    return static_cast<double>(processors) /
           static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.processors.value));
}

std::vector<filler_use> sum_uses(const worker_row& worker, const std::vector<run_row*>& fillers) {
    std::vector<filler_use> uses;
    for (const auto* run : fillers) {
        const auto known = std::find_if(uses.begin(), uses.end(), [&](const filler_use& use) {
            return use.image == run->image;
        });
        const auto share = share_of(worker, run->measurement);
        if (known == uses.end()) {
            uses.push_back({run->image, share});
        } else {
            known->share += share;
        }
    }
    return uses;
}

// Updates the estimates of effects with the measurements of a worker, and records since when its
// serving tasks are over their targets.
void learn_from_tails(shard_state& shard, worker_row& worker, const std::vector<run_row*>& serving,
                      const std::vector<run_row*>& fillers, time_point now) {
    const auto uses = sum_uses(worker, fillers);
    // Beside fillers that stand still, a task that is under its target is so by itself.
    const bool paused = std::all_of(fillers.begin(), fillers.end(),
                                    [](const run_row* run) { return run->pace_confirmed == 0; });
    const double recovered = paused ? 1.0 : recovered_slack;
    for (auto* run : serving) {
        const double slack = slack_of(*run);
        learn_effect(shard.effects, run->image, run->key.task.job.value, slack, uses, now);
        if (slack >= 1.0) {
            run->over_target_since.reset();
        } else if (!run->over_target_since) {
            run->over_target_since = now;
        }
        const double capped = std::min(slack, slack_limit);
        const bool first = run->average_slack == 0;
        run->average_slack =
            first ? capped : run->average_slack + slack_weight * (capped - run->average_slack);
        if (run->average_slack >= recovered || (first && slack >= 1.0)) {
            run->average_over_since.reset();
        } else if (slack < 1.0 && !run->average_over_since) {
            run->average_over_since = now;
        }
    }
}

// Returns whether reports contradict a pause that was confirmed, because an earlier command with
// another pace was executed after it.
bool is_pause_undone(run_row& run, time_point now) {
    if (run.pace_target != 0 || run.pace_confirmed != 0) {
        run.pause_unseen_since.reset();
        return false;
    }
    const bool works = run.measurement * 100 > run.need.processors.value * paused_use_percent;
    if (!works) {
        run.pause_unseen_since = time_point{};
        return false;
    }
    run.pause_unseen_since = run.pause_unseen_since.value_or(now);
    return now - *run.pause_unseen_since >= pause_report_time;
}

// Marks the paces that are to be sent again: those that the worker refused, and pauses that were
// undone.
void check_confirmed_paces(const std::vector<run_row*>& fillers, time_point now) {
    for (auto* run : fillers) {
        if (run->pace_confirmed == refused_pace || is_pause_undone(*run, now)) {
            run->pace_confirmed = unknown_pace;
        }
    }
}

void log_over_target(const shard_state& shard, const worker_row& worker,
                     const std::vector<run_row*>& serving, const std::vector<run_row*>& fillers,
                     time_point now) {
    for (const auto* run : serving) {
        const auto over = time_since(run->average_over_since, now);
        if (over < logged_over_target || fillers.empty()) {
            continue;
        }
        std::string paces;
        for (std::size_t i = 0; i < std::min(fillers.size(), logged_fillers); ++i) {
            const auto& filler = *fillers[i];
            paces += fmt::format("{}{}:{}/{}/{}", i == 0 ? "" : ",", filler.key.task.job.value,
                                 filler.pace_target, filler.pace_confirmed, filler.measurement);
        }
        shard.log->write("event=over_target task={}.{}.{}.{} worker={} over_ms={} every_ms={} "
                         "slack={:.2f} average_slack={:.2f} hold_ms={} fillers={} paces={}",
                         run->key.task.job.value, run->key.task.occurrence, run->key.task.step,
                         run->key.task.index, worker.entry.target.id.value, over.count(),
                         time_since(run->over_target_since, now).count(), slack_of(*run),
                         run->average_slack, (now - worker.hold_sent).count(), fillers.size(),
                         paces);
    }
}

// Share of the worker's processors that a filler would use at full pace, and its image.
struct filler_demand {
    std::string image;
    double share = 0;
};

// Returns the loss of slack that a filler causes to a serving task at full pace; 0 if it is noise.
double loss_by(const shard_state& shard, const run_row& serving, const filler_demand& filler) {
    const double effect = upper_effect_estimate(shard.effects, serving.image, filler.image);
    return effect < min_effect ? 0 : effect * filler.share;
}

// Returns the share of full pace, 0 to 1, at which a filler leaves enough slack to all serving
// tasks if the other fillers that disturb the same tasks are slowed down equally.
double allowed_pace(const shard_state& shard, const std::vector<const run_row*>& serving,
                    const std::vector<filler_demand>& fillers, const filler_demand& filler,
                    time_point now) {
    // Both sums are the same for all serving tasks of an image.
    struct losses {
        const std::string* image = nullptr;
        double own = 0;
        double total = 0;
    };
    std::vector<losses> known;
    double allowed = 1.0;
    for (const auto* run : serving) {
        if (run->average_over_since) {
            return 0; // a new filler would run at full pace until its start is confirmed
        }
        auto row = std::find_if(known.begin(), known.end(),
                                [&](const losses& other) { return *other.image == run->image; });
        if (row == known.end()) {
            losses added{&run->image, loss_by(shard, *run, filler), 0};
            for (const auto& other : fillers) {
                added.total += added.own == 0 ? 0 : loss_by(shard, *run, other);
            }
            row = known.insert(known.end(), added);
        }
        if (row->own == 0) {
            continue;
        }
        const double room =
            expected_slack(shard.effects, run->key.task.job.value, now, lookahead) - min_slack;
        allowed = std::min(allowed, std::max(0.0, room) / row->total);
    }
    return allowed;
}

// Sort key of fillers: first whether their jobs can still end in time, then the age of the jobs.
std::tuple<timeliness, std::int64_t, run_key> rank_of(const shard_state& shard,
                                                      const run_row& run) {
    const auto job = shard.tables.jobs.find(run.key.task.job);
    if (job == shard.tables.jobs.end()) {
        return {timeliness::overdue, 0, run.key};
    }
    return {predict_timeliness(shard, job->second), job->second.accepted.value, run.key};
}

filler_demand demand_of(const worker_row& worker, const run_row& run) {
    return {run.image, share_of(worker, run.need.processors.value)};
}

// Returns whether this or another shard has room where the filler wouldn't disturb serving tasks.
// Another shard must have twice the need.
bool has_undisturbing_room(const shard_state& shard, const run_row& run) {
    const auto need = run.need.processors.value;
    const auto own = shard.undisturbing_rooms.find(run.image);
    if (own != shard.undisturbing_rooms.end() && own->second >= static_cast<double>(need)) {
        return true;
    }
    return std::any_of(shard.other_shards.begin(), shard.other_shards.end(), [&](const auto& row) {
        return row.second.available &&
               std::any_of(
                   row.second.rooms.begin(), row.second.rooms.end(), [&](const service_room& room) {
                       const auto open = room.undisturbing_rooms.find(run.image);
                       return open != room.undisturbing_rooms.end() && open->second >= 2 * need;
                   });
    });
}

// Stops a filler that is throttled on its worker and would find room elsewhere. It resumes from its
// checkpoint; without checkpoints, only a run with little progress is stopped.
void stop_throttled(const shard_state& shard, run_row& run, time_point now) {
    if (run.pace_target > throttled_percent) {
        run.throttled_since.reset();
        return;
    }
    if (!run.throttled_since) {
        run.throttled_since = now;
    }
    const auto job = shard.tables.jobs.find(run.key.task.job);
    const auto limit = run.entitled ? entitled_throttled_limit : throttled_time_limit;
    if (now - *run.throttled_since < limit || job == shard.tables.jobs.end() ||
        !has_undisturbing_room(shard, run)) {
        return;
    }
    const auto& step = job->second.spec.steps[run.key.task.step];
    if (!step.gang && (step.checkpoints || run.progress_percent < expendable_progress_percent)) {
        shard.counters->count("fillers_released");
        request_stop(run, stop_cause::moved, now);
    }
}

} // namespace

void apply_step_spec(run_row& run, const step_spec& step) {
    run.need = step.need;
    run.filler = step.filler;
    run.long_running = step.long_running;
    run.image = step.image;
    run.tail_target = step.long_running ? step.tail_target : duration(0);
}

void pace_fillers(shard_state& shard, worker_row& worker, time_point now) {
    std::vector<run_row*> serving;
    std::vector<run_row*> fillers;
    for (const auto& key : worker.runs) {
        auto& run = shard.tables.runs.at(key);
        if (is_serving(run)) {
            serving.push_back(&run);
        } else if (run.filler && run.phase == run_phase::running) {
            fillers.push_back(&run);
        }
    }
    learn_from_tails(shard, worker, serving, fillers, now);
    check_confirmed_paces(fillers, now);
    plan_paces(shard, worker, now);
    log_over_target(shard, worker, serving, fillers, now);
}

void plan_paces(shard_state& shard, worker_row& worker, time_point now) {
    std::vector<const run_row*> serving;
    std::vector<run_row*> fillers;
    duration measured_over_target{0}; // by each of the last measurements
    duration over_target{0};          // by their average
    for (const auto& key : worker.runs) {
        auto& run = shard.tables.runs.at(key);
        if (run.phase == run_phase::stopping) {
            continue;
        }
        if (run.tail_target.count() > 0) {
            serving.push_back(&run);
            measured_over_target =
                std::max(measured_over_target, time_since(run.over_target_since, now));
            over_target = std::max(over_target, time_since(run.average_over_since, now));
        } else if (run.filler) {
            fillers.push_back(&run);
        }
    }
    // Jobs that can end in time come first, then older jobs, so that work that is nearly done isn't
    // slowed down in favour of work that has just begun.
    std::vector<std::pair<std::tuple<timeliness, std::int64_t, run_key>, run_row*>> ranked;
    ranked.reserve(fillers.size());
    for (auto* run : fillers) {
        ranked.emplace_back(rank_of(shard, *run), run);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<double> remaining_slack;
    remaining_slack.reserve(serving.size());
    for (const auto* run : serving) {
        remaining_slack.push_back(
            expected_slack(shard.effects, run->key.task.job.value, now, lookahead) - min_slack);
    }
    for (auto& [rank, run] : ranked) {
        const auto demand = demand_of(worker, *run);
        double allowed = 1.0;
        bool blamed = false;
        for (std::size_t i = 0; i < serving.size(); ++i) {
            const double loss = loss_by(shard, *serving[i], demand);
            if (loss > 0) {
                allowed = std::min(allowed, std::max(0.0, remaining_slack[i]) / loss);
                blamed = blamed || serving[i]->over_target_since;
            }
        }
        auto pace = static_cast<int>(100 * allowed);
        if (over_target >= over_target_limit ||
            (measured_over_target >= blamed_over_target_limit && blamed)) {
            pace = 0;
        }
        if (std::abs(pace - run->pace_target) >= min_pace_change || pace == 0 || pace == 100) {
            run->pace_target = pace;
        }
        for (std::size_t i = 0; i < serving.size(); ++i) {
            remaining_slack[i] -= loss_by(shard, *serving[i], demand) * run->pace_target / 100;
        }
        stop_throttled(shard, *run, now);
    }
}

void send_paces(shard_state& shard, shard_actions& actions) {
    for (auto& [key, run] : shard.tables.runs) {
        if (run.phase != run_phase::running || run.pace_in_flight ||
            run.pace_target == run.pace_confirmed || run.pace_confirmed == refused_pace) {
            continue;
        }
        const auto& worker = shard.tables.workers.at(run.worker);
        run.pace_in_flight = true;
        run.pace_fence = worker.fence;
        actions.paces.push_back(
            {worker.entry.target, {key, make_token(shard, worker), run.pace_target}});
        shard.counters->count("paces");
    }
}

void on_pace_reply(shard_state& shard, const run_key& key, int percent,
                   const result<command_reply>& reply) {
    const auto found = shard.tables.runs.find(key);
    if (shard.ownership_lost || found == shard.tables.runs.end()) {
        return;
    }
    auto& run = found->second;
    run.pace_in_flight = false;
    if (!reply) {
        run.pace_confirmed = unknown_pace;
        raise_fence(shard, shard.tables.workers.at(run.worker)); // a later one must not be undone
        return;
    }
    const auto outcome = reply.value().outcome;
    if (outcome == command_outcome::fenced) {
        run.pace_confirmed = unknown_pace;
        on_fenced(shard, shard.tables.workers.at(run.worker), run.pace_fence);
        return;
    }
    const bool executed = outcome == command_outcome::done || outcome == command_outcome::missing;
    run.pace_confirmed = executed ? percent : refused_pace;
}

bool is_shared(const shard_state& shard, const worker_row& worker) {
    bool serving = false;
    bool filling = false;
    for (const auto& key : worker.runs) {
        const auto& run = shard.tables.runs.at(key);
        serving = serving || run.tail_target.count() > 0;
        filling = filling || run.filler;
    }
    return serving && filling;
}

double predict_pace(const shard_state& shard, const worker_row& worker, const step_spec& step,
                    time_point now) {
    std::vector<const run_row*> serving;
    std::vector<filler_demand> demands;
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        if (run.tail_target.count() > 0) {
            serving.push_back(&run);
        } else if (run.filler) {
            demands.push_back(demand_of(worker, run));
        }
    }
    demands.push_back({step.image, share_of(worker, step.need.processors.value)});
    return allowed_pace(shard, serving, demands, demands.back(), now);
}

bool leaves_slack_at_start(const shard_state& shard, const worker_row& worker,
                           const step_spec& step, time_point now) {
    const filler_demand own{step.image, share_of(worker, step.need.processors.value)};
    return std::none_of(worker.run_rows.begin(), worker.run_rows.end(), [&](const run_row* run) {
        const double loss = run->tail_target.count() > 0 ? loss_by(shard, *run, own) : 0;
        if (loss == 0) {
            return false;
        }
        double slack =
            expected_slack(shard.effects, run->key.task.job.value, now, lookahead) - loss;
        for (const auto* other : worker.run_rows) {
            if (!other->filler) {
                continue;
            }
            const bool paced = other->confirmed && now - *other->confirmed >= start_pace_time;
            slack -= loss_by(shard, *run, demand_of(worker, *other)) *
                     (paced ? other->pace_target : 100) / 100;
        }
        return slack < min_slack;
    });
}

double undisturbing_room(const shard_state& shard, const worker_row& worker,
                         const std::string& image, time_point now) {
    double room = static_cast<double>(std::max<std::int64_t>(0, filler_room(shard, worker)));
    std::vector<filler_demand> demands;
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        if (run.filler) {
            demands.push_back(demand_of(worker, run));
        }
    }
    const auto capacity = static_cast<double>(worker.entry.capacity.processors.value);
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        const double loss = run.tail_target.count() > 0 ? loss_by(shard, run, {image, 1.0}) : 0;
        if (loss == 0) {
            continue;
        }
        double remaining_slack =
            expected_slack(shard.effects, run.key.task.job.value, now, lookahead) - min_slack;
        for (const auto& other : demands) {
            remaining_slack -= loss_by(shard, run, other);
        }
        room = std::min(room, std::max(0.0, remaining_slack) / loss * capacity);
    }
    return room;
}

double other_serving_share(const shard_state& shard, const worker_row& worker,
                           const std::string& image) {
    double other = 0;
    // Of tasks that are about to start there.
    for (const auto& [key, reservation] : worker.reserved) {
        const auto job = shard.tables.jobs.find(key.job);
        if (job == shard.tables.jobs.end() || key.step >= job->second.spec.steps.size()) {
            continue;
        }
        const auto& step = job->second.spec.steps[key.step];
        if (step.tail_target.count() > 0 && step.image != image) {
            other += share_of(worker, step.need.processors.value);
        }
    }
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        if (run.tail_target.count() > 0 && run.image != image) {
            other += share_of(worker, run.need.processors.value);
        }
    }
    return other;
}

} // namespace fulmar
