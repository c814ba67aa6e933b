#include "worker_model.hpp"

#include <algorithm>

namespace fulmar {

worker_model::worker_model(worker_model_options options, process_start_time start_time,
                           time_point started)
    : options_(std::move(options))
    , start_time_(start_time)
    , started_(started)
    , last_advance_(started) {}

worker_clock worker_model::clock(time_point now) const {
    return {(now - started_).count()};
}

command_reply worker_model::reply(command_outcome outcome, time_point now) const {
    return {outcome, clock(now), start_time_};
}

bool worker_model::is_fenced(fencing_token token) {
    if (token < highest_token_) {
        return true;
    }
    highest_token_ = token;
    return false;
}

void worker_model::extend_lease(worker_clock until, time_point now) {
    const worker_clock longest{clock(now).value + options_.longest_lease.count()};
    lease_until_ = std::max(lease_until_, std::min(until, longest));
}

bool worker_model::has_room(const run_behaviour& next) const {
    auto free = options_.capacity;
    for (const auto& [key, need] : occupied_) {
        free = free - need;
    }
    auto need = next.need;
    if (next.filler) {
        need.processors = {0};
    }
    return fits(need, free);
}

command_reply worker_model::start(const start_command& command, time_point now) {
    advance(now);
    if (is_fenced(command.token)) {
        return reply(command_outcome::fenced, now);
    }
    if (command.lease_until <= clock(now)) {
        return reply(command_outcome::late, now);
    }
    extend_lease(command.lease_until, now);
    if (runs_.contains(command.run)) {
        return reply(command_outcome::done, now);
    }
    const auto closed = highest_closed_run_.find(command.run.task);
    if (closed != highest_closed_run_.end() && command.run.number <= closed->second) {
        return reply(command_outcome::superseded, now);
    }
    if (refusing) {
        return reply(command_outcome::unhealthy, now);
    }
    const auto behaviour = options_.behaviour(command.run, command.payload);
    if (!behaviour) {
        return reply(command_outcome::invalid, now);
    }
    if (options_.enforces_capacity && !has_room(*behaviour)) {
        return reply(command_outcome::no_room, now);
    }
    run_state state;
    state.behaviour = *behaviour;
    state.checkpoint = command.checkpoint;
    if (!command.checkpoint.empty()) {
        state.done_ms = std::stod(command.checkpoint.substr(command.checkpoint.rfind('@') + 1));
        state.checkpoint_ms = state.done_ms;
    }
    state.observed = observed_.size();
    observed_.push_back({command.run, now, std::nullopt, std::nullopt, command.checkpoint});
    auto need = behaviour->need;
    if (behaviour->filler) {
        need.processors = {0};
    }
    occupied_[command.run] = need;
    runs_.emplace(command.run, std::move(state));
    return reply(command_outcome::done, now);
}

command_reply worker_model::stop(const stop_command& command, time_point now) {
    advance(now);
    if (is_fenced(command.token)) {
        return reply(command_outcome::fenced, now);
    }
    auto& closed = highest_closed_run_[command.run.task];
    closed = std::max(closed, command.run.number);
    const auto run = runs_.find(command.run);
    if (run != runs_.end() && !run->second.stops_at) {
        run->second.stops_at = now + options_.stop_time;
    }
    return reply(command_outcome::done, now);
}

command_reply worker_model::pace(const pace_command& command, time_point now) {
    advance(now);
    if (is_fenced(command.token)) {
        return reply(command_outcome::fenced, now);
    }
    const auto run = runs_.find(command.run);
    if (run == runs_.end()) {
        return reply(command_outcome::missing, now);
    }
    run->second.percent = command.percent;
    return reply(command_outcome::done, now);
}

hold_reply worker_model::hold(const hold_command& command, time_point now) {
    advance(now);
    hold_reply answer;
    answer.clock = clock(now);
    answer.start_time = start_time_;
    if (is_fenced(command.token)) {
        answer.outcome = command_outcome::fenced;
        return answer;
    }
    std::erase_if(ended_, [&](const run_end& row) {
        if (row.number > command.acknowledged) {
            return false;
        }
        observed_[observed_ends_.at(row.number)].acknowledged = true;
        return true;
    });
    if (command.lease_until) {
        extend_lease(*command.lease_until, now);
    }
    for (const auto& [key, run] : runs_) {
        const bool long_running = run.behaviour.work > duration(3'600'000);
        const auto progress =
            long_running ? 100
                         : static_cast<int>(run.done_ms * 100 /
                                            static_cast<double>(run.behaviour.work.count()));
        answer.running.push_back({key, run.checkpoint, progress, run.behaviour.measurement});
    }
    answer.ended.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                             ended_.size(), max_run_ends)));
    for (const auto& row : answer.ended) {
        auto& seen = observed_[observed_ends_.at(row.number)];
        seen.listed = seen.listed.value_or(now);
    }
    return answer;
}

void worker_model::end_run(const run_key& run, run_end_kind kind, time_point now) {
    const auto node = runs_.extract(run);
    auto& seen = observed_[node.mapped().observed];
    seen.to = now;
    seen.end = kind;
    occupied_.erase(run);
    auto& closed = highest_closed_run_[run.task];
    closed = std::max(closed, run.number);
    observed_ends_[next_end_] = node.mapped().observed;
    ended_.push_back({next_end_++, run, kind,
                      kind == run_end_kind::done ? std::string() : node.mapped().checkpoint});
}

void worker_model::advance(time_point now) {
    const auto passed = static_cast<double>((now - last_advance_).count());
    last_advance_ = std::max(last_advance_, now);
    if (clock(now) > lease_until_) {
        for (const auto& row : ended_) {
            observed_[observed_ends_.at(row.number)].lapsed = true;
        }
        const auto runs = runs_;
        for (const auto& [key, run] : runs) {
            end_run(key, run_end_kind::lapsed, now);
        }
        return;
    }
    std::vector<std::pair<run_key, run_end_kind>> ends;
    for (auto& [key, run] : runs_) {
        if (!stalled) {
            run.done_ms += passed * run.percent / 100;
        }
        const auto interval = static_cast<double>(options_.checkpoint_interval.count());
        const bool stopped = run.stops_at && now >= *run.stops_at;
        if (run.behaviour.checkpoints && (stopped || run.done_ms - run.checkpoint_ms >= interval)) {
            run.checkpoint_ms = run.done_ms;
            run.checkpoint = key.task.job.value + "/" + std::to_string(key.task.index) + "@" +
                             std::to_string(run.done_ms);
        }
        if (failing) {
            ends.emplace_back(key, run_end_kind::failed);
        } else if (stopped) {
            ends.emplace_back(key, run_end_kind::stopped);
        } else if (run.done_ms >= static_cast<double>(run.behaviour.work.count())) {
            ends.emplace_back(key, run.behaviour.fails ? run_end_kind::failed : run_end_kind::done);
        }
    }
    for (const auto& [key, kind] : ends) {
        end_run(key, kind, now);
    }
}

} // namespace fulmar
