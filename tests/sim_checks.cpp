// The simulated callers, and the checks of the guarantees.
#include "sim_parts.hpp"

#include "fulmar/json.hpp"

#include <algorithm>
#include <cstdlib>

namespace fulmar {

namespace {

constexpr duration cancel_bound{3'000};
constexpr duration evacuation_bound{5'000};

std::string task_name(const task_key& key) {
    return key.job.value + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(key.index);
}

bool is_acknowledged_as_done(const worker_model::observed_run& run) {
    return run.end == run_end_kind::done && run.acknowledged && !run.lapsed;
}

bool is_acknowledged_as_failed(const worker_model::observed_run& run) {
    return run.end == run_end_kind::failed && run.acknowledged;
}

} // namespace

// Callers.

job_spec sim_world::simple_job(std::uint32_t tasks, std::uint32_t steps) {
    job_spec spec;
    spec.payload = "payload";
    for (std::uint32_t i = 0; i < steps; ++i) {
        step_spec step;
        step.count = tasks;
        step.need = {{2'000}, {4'000}, {0}};
        step.estimate = duration(500);
        step.checkpoints = true;
        if (i > 0) {
            step.after = {i - 1};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

std::string sim_world::submit(std::size_t host, job_spec spec, duration work,
                              const std::string& queue_name) {
    const auto number = std::to_string(next_job_++);
    auto id = std::string(16 - number.size(), '0') + number;
    auto& job = jobs_[id];
    job.spec = std::move(spec);
    job.queue = queue(queue_name);
    job.work = work;
    send_submission(host, id);
    return id;
}

void sim_world::send_submission(std::size_t index, const std::string& id) {
    static constexpr duration timeout{2'800};
    static constexpr duration retry_delay{700};
    auto& job = jobs_.at(id);
    if (job.ever_accepted) {
        return;
    }
    const auto retry = [this, index, id](duration delay) {
        at(delay, [this, index, id] { send_submission((index + 1) % hosts_.size(), id); });
    };
    if (!hosts_[index]->alive) {
        retry(retry_delay);
        return;
    }
    ++job.open_submissions;
    const auto incarnation = hosts_[index]->incarnation;
    const auto answered = std::make_shared<bool>(false);
    at(timeout + duration(200), [this, id, answered, retry] {
        if (!std::exchange(*answered, true)) {
            --jobs_.at(id).open_submissions;
            jobs_.at(id).outcome_ever_unknown = true;
            retry(duration(0));
        }
    });
    on_host(index, incarnation, latency(), [this, index, id, answered, retry] {
        const auto& submitted_job = jobs_.at(id);
        hosts_[index]->control->submit({id}, submitted_job.queue, submitted_job.spec, timeout,
                                       [this, id, answered, retry](const submit_answer& answer) {
                                           if (std::exchange(*answered, true)) {
                                               return;
                                           }
                                           auto& row = jobs_.at(id);
                                           --row.open_submissions;
                                           row.answer = answer.outcome;
                                           if (answer.outcome == submit_outcome::accepted) {
                                               row.ever_accepted = true;
                                               return;
                                           }
                                           row.outcome_ever_unknown =
                                               row.outcome_ever_unknown ||
                                               answer.outcome == submit_outcome::unknown;
                                           if (row.is_rejected() && !callers_insist) {
                                               row.given_up = true;
                                               return;
                                           }
                                           retry(std::max(answer.retry_after, retry_delay));
                                       });
    });
}

void sim_world::cancel(std::size_t index, const std::string& id) {
    static constexpr duration retry_delay{500};
    const auto retry = [this, index, id] {
        at(retry_delay, [this, index, id] { cancel((index + 1) % hosts_.size(), id); });
    };
    if (!hosts_[index]->alive) {
        retry();
        return;
    }
    // Until the submission is known to have been accepted, "no such job" is a correct answer.
    const bool known = jobs_.at(id).ever_accepted;
    const auto answered = std::make_shared<bool>(false);
    at(duration(3'200), [answered, retry] {
        if (!std::exchange(*answered, true)) {
            retry();
        }
    });
    on_host(index, hosts_[index]->incarnation, latency(),
            [this, index, id, answered, retry, known] {
                hosts_[index]->control->cancel(
                    {id}, duration(2'800),
                    [this, id, answered, retry, known](const result<job_phase>& phase) {
                        if (std::exchange(*answered, true)) {
                            return;
                        }
                        if (phase || phase.error().kind == error_kind::not_found) {
                            if (!known) {
                                return;
                            }
                            jobs_.at(id).cancel_acknowledged = now_;
                        } else {
                            retry();
                        }
                    });
            });
}

std::optional<job_phase> sim_world::query(std::size_t index, const std::string& id) {
    if (!hosts_[index]->alive) {
        return std::nullopt;
    }
    const auto reported_phase = std::make_shared<std::optional<job_phase>>();
    const auto answered = std::make_shared<bool>(false);
    // A query that was sent before the acceptance may be answered after it.
    const bool accepted = jobs_.at(id).ever_accepted;
    hosts_[index]->control->query(
        {id}, duration(2'800),
        [this, id, accepted, reported_phase, answered](const result<job_phase>& phase) {
            *answered = true;
            if (!phase) {
                if (phase.error().kind == error_kind::not_found && accepted) {
                    record_violation("LOST accepted job unknown: " + id);
                }
                return;
            }
            *reported_phase = phase.value();
        });
    run_until([&] { return *answered; }, duration(3'000));
    if (*reported_phase) {
        jobs_.at(id).reported_phase = **reported_phase;
        if (**reported_phase == job_phase::completed) {
            for (auto& [name, worker] : workers_) {
                if (worker.model) {
                    record_ends(worker, *worker.model);
                }
            }
            const auto& spec = jobs_.at(id).spec;
            for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
                for (std::uint32_t i = 0; i < spec.steps[step].count; ++i) {
                    if (!history_[{{id}, 0, step, i}].done) {
                        record_violation("MIXED job reported as completed, task not done: " +
                                         task_name({{id}, 0, step, i}));
                    }
                }
            }
        }
    }
    return *reported_phase;
}

bool sim_world::all_ended() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& row) {
        return row.second.given_up ||
               (row.second.reported_phase && has_ended(*row.second.reported_phase));
    });
}

bool sim_world::running(const std::string& job) const {
    return std::any_of(history_.begin(), history_.end(), [&](const auto& row) {
        return row.first.job.value == job && !row.second.running.empty();
    });
}

std::optional<run_behaviour> sim_world::behaviour_of(const run_key& run) const {
    const auto found = jobs_.find(run.task.job.value);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    const auto& job = found->second;
    const auto& step = job.spec.steps.at(run.task.step);
    run_behaviour behaviour;
    behaviour.need = step.need;
    behaviour.work = step.long_running ? duration(1'000'000'000) : job.work;
    behaviour.checkpoints = step.checkpoints;
    behaviour.filler = step.filler;
    behaviour.fails = run.task.step == 0 && job.failing_tasks.contains(run.task.index);
    return behaviour;
}

// Checks.

void sim_world::record_violation(const std::string& what) {
    violations_.push_back("at " + std::to_string(now_.time_since_epoch().count()) + " ms: " + what);
}

void sim_world::check_capacity(const sim_worker& worker) {
    auto free = worker.entry.capacity;
    for (const auto& [key, need] : worker.model->occupied()) {
        free = free - need;
    }
    if (free.processors.value < 0 || free.memory.value < 0) {
        record_violation("LIMIT worker over its capacity: " + worker.entry.target.id.value);
    }
}

// Records which runs have ended and which of these run ends were acknowledged.
void sim_world::record_ends(sim_worker& worker, const worker_model& model) {
    const auto incarnation =
        worker.entry.target.id.value + "/" + std::to_string(worker.incarnation);
    for (const auto& run : model.observed()) {
        if (!run.end) {
            continue;
        }
        auto& history = history_[run.run.task];
        history.running.erase(incarnation + "#" + std::to_string(run.run.number.value));
        history.done = history.done || run.end == run_end_kind::done;
        const bool counts = is_acknowledged_as_done(run) || is_acknowledged_as_failed(run);
        if (!counts || !worker.counted_ends.insert(run.run).second) {
            continue;
        }
        auto& count = is_acknowledged_as_done(run) ? history.done_acknowledged
                                                   : history.failures_acknowledged;
        ++count;
    }
}

void sim_world::record_all_ends() {
    for (auto& [id, worker] : workers_) {
        if (worker.model) {
            record_ends(worker, *worker.model);
        }
    }
}

void sim_world::note_planned_starts(const store_transaction& applied) {
    for (const auto& put : applied.puts) {
        const auto begin = put.key.find("/progress/");
        if (begin == std::string::npos || put.value.find("\"planned\"") == std::string::npos) {
            continue;
        }
        const job_id id{put.key.substr(begin + std::string_view("/progress/").size())};
        const auto progress = json::parse(put.value);
        for (const auto& row : progress.at("planned")) {
            auto& named =
                planned_starts_[{id, row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                                 row.at(2).get<std::uint32_t>()}];
            for (const auto& worker : row.at(5)) {
                named.insert({worker.get<std::string>()});
            }
        }
    }
}

// Checks the runs that started since the last check.
void sim_world::check_starts(sim_worker& worker, const worker_model& model) {
    const auto incarnation =
        worker.entry.target.id.value + "/" + std::to_string(worker.incarnation);
    const auto& observed = model.observed();
    const auto from = std::exchange(worker.checked_runs, observed.size());
    for (std::size_t i = from; i < observed.size(); ++i) {
        const auto& run = observed[i];
        const auto& task = run.run.task;
        const auto name =
            task_name(task) + " run " + std::to_string(run.run.number.value) + " on " + incarnation;
        auto& history = history_[task];
        ++total_starts_;
        const auto found = jobs_.find(task.job.value);
        if (found == jobs_.end()) {
            record_violation("UNASKED start of an unknown job: " + name);
            continue;
        }
        const auto& job = found->second;
        const auto& step = job.spec.steps.at(task.step);
        if (job.is_rejected()) {
            record_violation("REFUSED start of a job that was rejected only: " + name);
        }
        // A run may start, end and have its end acknowledged between two checks.
        const std::size_t own_done = is_acknowledged_as_done(run) ? 1 : 0;
        const std::size_t own_failure = is_acknowledged_as_failed(run) ? 1 : 0;
        if (history.done_acknowledged > own_done) {
            record_violation("TWICE start after an acknowledged end: " + name);
        }
        // Another run of the same interval may have started when this one had ended.
        const auto until = run.to.value_or(time_point::max());
        const auto& running = history.running;
        const auto other = std::find_if(running.begin(), running.end(),
                                        [&](const auto& row) { return row.second <= until; });
        if (other != running.end() && !step.speculative) {
            record_violation("TWICE two runs at once: " + name + " and " + other->first);
        }
        if (!run.to) {
            history.running.emplace(incarnation + "#" + std::to_string(run.run.number.value),
                                    run.from);
        }
        for (const auto before : step.after) {
            for (std::uint32_t index = 0; index < job.spec.steps[before].count; ++index) {
                if (!history_[{task.job, task.occurrence, before, index}].done) {
                    record_violation("ORDER start before a preceding step is done: " + name);
                }
            }
        }
        if (!step.long_running &&
            history.failures_acknowledged >= job.queue.max_attempts + own_failure) {
            record_violation("BUDGET start beyond the maximum attempts: " + name);
        }
        if (job.cancel_acknowledged && run.from > *job.cancel_acknowledged + cancel_bound) {
            record_violation("UNASKED start of a cancelled job: " + name);
        }
        if (records_starts(step) && !planned_starts_[task].contains(worker.entry.target.id)) {
            record_violation("TWICE start on a worker that the store doesn't name: " + name);
        }
        const auto out = evacuated_at_.find(worker.entry.data_centre.value);
        if (out != evacuated_at_.end() && run.from > out->second + evacuation_bound) {
            record_violation("EVAC start in an evacuated data centre: " + name);
        }
        if (!run.resumed_from.empty() &&
            !run.resumed_from.starts_with(task.job.value + "/" + std::to_string(task.index) +
                                          "@")) {
            record_violation("UNASKED resumed from the checkpoint of another task: " + name);
        }
        const auto same = std::count_if(observed.begin(), observed.end(), [&](const auto& other) {
            return other.run.task.job == task.job && other.run.task.step == task.step &&
                   other.run.task.occurrence == task.occurrence && !other.to;
        });
        if (step.spread_limit > 0 && static_cast<std::uint32_t>(same) > step.spread_limit) {
            record_violation("ROUTE more tasks of the step on one worker than allowed: " + name);
        }
    }
}

std::string sim_world::dump() const {
    std::string text;
    if (std::getenv("SIM_LOG") != nullptr) {
        for (const auto& host : hosts_) {
            text += host->alive ? host->control->describe() : "";
        }
    }
    for (const auto& violation : violations_) {
        text += violation + "\n";
    }
    for (const auto& [id, job] : jobs_) {
        text += id + " accepted=" + std::to_string(job.ever_accepted) + " shown=" +
                (job.reported_phase ? std::string(to_string(*job.reported_phase)) : "-") + "\n";
    }
    return text;
}

} // namespace fulmar
