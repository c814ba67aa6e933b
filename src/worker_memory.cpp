#include "worker_memory.hpp"

#include <cassert>
#include <charconv>

namespace fulmar {

namespace {

worker_clock worker_now(time_point now) {
    return {now.time_since_epoch().count()};
}

// Returns the run time in milliseconds that a checkpoint of this model covers; 0 for any other
// text.
std::int64_t covered_ms(std::string_view checkpoint) {
    std::int64_t covered = 0;
    std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(), covered);
    return covered;
}

// Ends a running task. Its report is kept until it is acknowledged.
void end_task(worker_task& task, task_state state, time_point now) {
    task.report.state = state;
    if (state == task_state::checkpointed) {
        // The attempt number makes each checkpoint unique, so that tests can distinguish them.
        const auto ran = task.resumed_ms + (now - task.started).count();
        task.report.checkpoint =
            std::to_string(ran) + "@" + std::to_string(task.report.attempt.value);
    }
}

// Starts a task, or returns the reason why it can't be started.
std::optional<error_kind> start_task(cell_worker_model& worker, const worker_command& command,
                                     time_point now) {
    auto& last = worker.last_attempt[command.task];
    if (command.attempt <= last) {
        const auto existing = worker.tasks.find(command.task);
        const bool repeated =
            existing != worker.tasks.end() && existing->second.report.attempt == command.attempt;
        return repeated ? std::nullopt : std::optional(error_kind::conflict);
    }
    if (!fits(command.need, worker.capacity - committed_resources(worker))) {
        return error_kind::capacity_exceeded;
    }
    const auto existing = worker.tasks.find(command.task);
    if (existing != worker.tasks.end() && existing->second.report.state == task_state::running) {
        return error_kind::conflict;
    }
    last = command.attempt;
    ++worker.starts;
    worker_task task;
    task.report = {command.task, command.attempt,    task_state::running,
                   command.need, command.task_class, command.checkpoint};
    task.started = now;
    task.run_ms = command.run_ms;
    task.resumed_ms = covered_ms(command.checkpoint);
    if (worker.faults.fail_all_starts) {
        task.report.state = task_state::failed;
    }
    worker.tasks[command.task] = std::move(task);
    return std::nullopt;
}

std::optional<error_kind> execute(cell_worker_model& worker, const worker_command& command,
                                  time_point now) {
    if (worker_now(now) > command.expires_at) {
        return error_kind::expired;
    }
    if (command.kind == command_kind::start) {
        return start_task(worker, command, now);
    }
    const auto found = worker.tasks.find(command.task);
    if (found == worker.tasks.end() || found->second.report.attempt != command.attempt) {
        return error_kind::not_found;
    }
    if (found->second.report.state != task_state::running) {
        return std::nullopt;
    }
    if (command.kind == command_kind::throttle) {
        found->second.share = command.share;
        return std::nullopt;
    }
    end_task(found->second,
             command.kind == command_kind::evict ? task_state::checkpointed : task_state::stopped,
             now);
    return std::nullopt;
}

void delete_acknowledged(cell_worker_model& worker, const std::vector<task_ack>& acks) {
    for (const auto& ack : acks) {
        const auto found = worker.tasks.find(ack.task);
        if (found == worker.tasks.end() || found->second.report.attempt != ack.attempt ||
            found->second.report.state == task_state::running) {
            continue;
        }
        worker.tasks.erase(found);
    }
}

// Takes a sample of every running task if one is due.
void sample_usage(cell_worker_model& worker, time_point now) {
    if (worker.usage_interval.count() <= 0 || now < worker.next_usage) {
        return;
    }
    worker.next_usage = now + worker.usage_interval;
    for (const auto& [id, task] : worker.tasks) {
        if (task.report.state != task_state::running) {
            continue;
        }
        usage_sample sample;
        sample.task = id;
        sample.task_class = task.report.task_class;
        sample.used = {task.report.need.processors.value * task.share / 100};
        sample.slowdown = worker.slowdown ? worker.slowdown(worker, task) : 1.0;
        worker.usage.push_back({now, std::move(sample)});
    }
}

// Removes the samples whose lag has passed and returns them with their age.
std::vector<usage_sample> report_usage(cell_worker_model& worker, time_point now) {
    std::vector<usage_sample> reported;
    while (!worker.usage.empty() && worker.usage.front().at + worker.usage_lag <= now) {
        auto& next = worker.usage.front();
        next.sample.age_ms = (now - next.at).count();
        reported.push_back(std::move(next.sample));
        worker.usage.pop_front();
    }
    return reported;
}

} // namespace

resources committed_resources(const cell_worker_model& worker) {
    resources sum;
    for (const auto& [id, task] : worker.tasks) {
        if (task.report.state == task_state::running) {
            sum = sum + task.report.need;
        }
    }
    return sum;
}

void advance_worker(cell_worker_model& worker, time_point now) {
    const bool lease_expired = now >= worker.lease_end;
    for (auto& [id, task] : worker.tasks) {
        if (task.report.state != task_state::running) {
            continue;
        }
        const auto ends = task.started + duration(task.run_ms - task.resumed_ms);
        if (task.run_ms > 0 && now >= ends && (!lease_expired || ends <= worker.lease_end)) {
            end_task(task, task_state::finished, ends);
        } else if (lease_expired) {
            end_task(task, task_state::checkpointed, worker.lease_end);
        }
    }
    sample_usage(worker, now);
}

result<sync_reply> handle_sync(cell_worker_model& worker, const sync_request& request,
                               time_point now) {
    advance_worker(worker, now);

    // Step 1: grant or refuse the lease.
    if (!worker.first_boot && now < worker.started + worker.lease_grant_delay) {
        return error{error_kind::lease_held, "no lease is granted shortly after a restart"};
    }
    if (request.epoch < worker.epoch) {
        return error{error_kind::stale_epoch, "epoch " + std::to_string(request.epoch.value) +
                                                  " is below " +
                                                  std::to_string(worker.epoch.value)};
    }
    if (request.epoch == worker.epoch && request.holder != worker.holder &&
        now < worker.lease_end) {
        return error{error_kind::lease_held, "lease is held by " + worker.holder.value};
    }
    worker.holder = request.holder;
    worker.epoch = request.epoch;
    worker.lease_end = now + duration(request.lease_ms);

    // Step 2: execute the commands.
    sync_reply reply;
    delete_acknowledged(worker, request.acks);
    for (const auto& command : request.commands) {
        reply.results.push_back({command.task, command.attempt, execute(worker, command, now)});
    }
    assert(fits(committed_resources(worker), worker.capacity));

    // Step 3: report the tasks and samples.
    reply.now = worker_now(now);
    reply.incarnation = worker.incarnation;
    reply.capacity = worker.capacity;
    reply.usage = report_usage(worker, now);
    for (const auto& [id, task] : worker.tasks) {
        if (request.full_inventory || task.report.state != task_state::running) {
            reply.tasks.push_back(task.report);
        }
    }
    return reply;
}

void restart_worker(cell_worker_model& worker, time_point now) {
    worker.tasks.clear();
    worker.usage.clear();
    worker.last_attempt.clear();
    worker.holder = {};
    worker.epoch = {};
    worker.lease_end = {};
    worker.first_boot = false;
    worker.started = now;
    ++worker.incarnation;
}

} // namespace fulmar
