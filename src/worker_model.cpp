#include "worker_model.hpp"

#include <algorithm>

namespace fulmar {

worker_model::worker_model(worker_model_options options, birth_time born, time_point started)
    : options_(std::move(options))
    , born_(born)
    , started_(started)
    , advanced_(started) {}

worker_clock worker_model::clock(time_point now) const {
    return {(now - started_).count()};
}

order_reply worker_model::reply(order_outcome outcome, time_point now) const {
    return {outcome, clock(now), born_};
}

bool worker_model::is_fenced(epoch_number epoch) {
    if (epoch < fence_) {
        return true;
    }
    fence_ = epoch;
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

order_reply worker_model::start(const start_order& order, time_point now) {
    advance(now);
    if (is_fenced(order.epoch)) {
        return reply(order_outcome::fenced, now);
    }
    if (order.lease_until <= clock(now)) {
        return reply(order_outcome::late, now);
    }
    extend_lease(order.lease_until, now);
    if (runs_.contains(order.run)) {
        return reply(order_outcome::done, now);
    }
    const auto closed = closed_.find(order.run.task);
    if (closed != closed_.end() && order.run.number <= closed->second) {
        return reply(order_outcome::superseded, now);
    }
    const auto behaviour = options_.behaviour(order.run, order.payload);
    if (!behaviour) {
        return reply(order_outcome::invalid, now);
    }
    if (options_.guards_capacity && !has_room(*behaviour)) {
        return reply(order_outcome::no_room, now);
    }
    run_state state;
    state.behaviour = *behaviour;
    state.checkpoint = order.checkpoint;
    if (!order.checkpoint.empty()) {
        state.done_ms = std::stod(order.checkpoint.substr(order.checkpoint.rfind('@') + 1));
        state.checkpoint_ms = state.done_ms;
    }
    state.observed = observed_.size();
    observed_.push_back({order.run, now, std::nullopt, std::nullopt, order.checkpoint});
    auto need = behaviour->need;
    if (behaviour->filler) {
        need.processors = {0};
    }
    occupied_[order.run] = need;
    runs_.emplace(order.run, std::move(state));
    return reply(order_outcome::done, now);
}

order_reply worker_model::stop(const stop_order& order, time_point now) {
    advance(now);
    if (is_fenced(order.epoch)) {
        return reply(order_outcome::fenced, now);
    }
    auto& closed = closed_[order.run.task];
    closed = std::max(closed, order.run.number);
    const auto run = runs_.find(order.run);
    if (run != runs_.end() && !run->second.stops_at) {
        run->second.stops_at = now + options_.stop_time;
    }
    return reply(order_outcome::done, now);
}

order_reply worker_model::pace(const pace_order& order, time_point now) {
    advance(now);
    if (is_fenced(order.epoch)) {
        return reply(order_outcome::fenced, now);
    }
    const auto run = runs_.find(order.run);
    if (run == runs_.end()) {
        return reply(order_outcome::missing, now);
    }
    run->second.percent = order.percent;
    return reply(order_outcome::done, now);
}

hold_reply worker_model::hold(const hold_order& order, time_point now) {
    advance(now);
    hold_reply answer;
    answer.clock = clock(now);
    answer.born = born_;
    if (is_fenced(order.epoch)) {
        answer.outcome = order_outcome::fenced;
        return answer;
    }
    std::erase_if(ended_, [&](const ended_row& row) {
        if (row.number > order.acknowledged) {
            return false;
        }
        observed_[observed_ends_.at(row.number)].acknowledged = true;
        return true;
    });
    if (order.lease_until) {
        extend_lease(*order.lease_until, now);
    }
    for (const auto& [key, run] : runs_) {
        const bool lasting = run.behaviour.work > duration(3'600'000);
        const auto progress =
            lasting ? 100
                    : static_cast<int>(run.done_ms * 100 /
                                       static_cast<double>(run.behaviour.work.count()));
        answer.running.push_back({key, run.checkpoint, progress, run.behaviour.figure});
    }
    answer.ended.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                             ended_.size(), ended_rows_limit)));
    return answer;
}

void worker_model::end_run(const run_key& run, end_kind kind, time_point now) {
    const auto node = runs_.extract(run);
    auto& seen = observed_[node.mapped().observed];
    seen.to = now;
    seen.end = kind;
    occupied_.erase(run);
    auto& closed = closed_[run.task];
    closed = std::max(closed, run.number);
    observed_ends_[next_end_] = node.mapped().observed;
    ended_.push_back({next_end_++, run, kind,
                      kind == end_kind::done ? std::string() : node.mapped().checkpoint});
}

void worker_model::advance(time_point now) {
    const auto passed = static_cast<double>((now - advanced_).count());
    advanced_ = std::max(advanced_, now);
    if (clock(now) > lease_until_) {
        for (const auto& row : ended_) {
            observed_[observed_ends_.at(row.number)].lapsed = true;
        }
        const auto runs = runs_;
        for (const auto& [key, run] : runs) {
            end_run(key, end_kind::lapsed, now);
        }
        return;
    }
    std::vector<std::pair<run_key, end_kind>> ends;
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
            ends.emplace_back(key, end_kind::failed);
        } else if (stopped) {
            ends.emplace_back(key, end_kind::stopped);
        } else if (run.done_ms >= static_cast<double>(run.behaviour.work.count())) {
            ends.emplace_back(key, run.behaviour.fails ? end_kind::failed : end_kind::done);
        }
    }
    for (const auto& [key, kind] : ends) {
        end_run(key, kind, now);
    }
}

} // namespace fulmar
