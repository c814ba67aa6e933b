// Advances the owned shards and sends the resulting actions to workers, store and peers.
#include "bounded_json.hpp"
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

void host_control::schedule_shard(const shard_pointer& shard) {
    if (std::exchange(shard->advance_pending, true)) {
        return;
    }
    loop_.call_after(duration(0), [this, alive = alive_, shard] {
        if (*alive) {
            shard->advance_pending = false;
            handle_event(shard, "advance", [&] { advance_shard(shard); });
        }
    });
}

// Handles an event of a shard. After an unexpected error, the shard's state may be half changed: it
// is dropped and loaded again from the store, by this host or another one, under a new epoch. The
// process and its other shards go on.
void host_control::handle_event(const shard_pointer& shard, std::string_view event,
                                const std::function<void()>& handler) {
    try {
        handler();
    } catch (const std::exception& failure) {
        counters_.count("unexpected_errors", event);
        log_.write_rare("event=unexpected_error shard={} epoch={} at={} detail=\"{}\"",
                        shard->state.id.value, shard->state.epoch.value, event,
                        make_printable(failure.what()));
        if (find_owned(shard->state.id) == shard) {
            drop_shard(shard->state.id, "unexpected_error");
        }
    }
}

void host_control::advance_shard(const shard_pointer& shard) {
    if (!shard->loaded || shard->state.ownership_lost) {
        if (shard->state.ownership_lost && find_owned(shard->state.id) == shard) {
            drop_shard(shard->state.id, "lost");
        }
        return;
    }
    ++advances_;
    if (loop_.now() > next_tick_) {
        // After a pause, replies may be processed before the tick: enough to renew the authority,
        // while the orders are as old as the pause.
        update_start_permissions();
    }
    shard_actions actions;
    advance(shard->state, loop_.now(), loop_.unix_now(), actions);
    execute(shard, actions);
    if (needs_claim_check(shard->state, loop_.now())) {
        check_claim(shard);
    }
    if (shard->state.releasing && can_release(shard->state)) {
        transfer_shard(shard); // immediately: nothing starts until the successor owns the shard
    }
}

// Reads the claim, so that an owner that reaches few of its workers finds out whether it still owns
// the shard.
void host_control::check_claim(const shard_pointer& shard) {
    if (shard->claim_check_pending) {
        return;
    }
    shard->claim_check_pending = true;
    const auto sent = loop_.now();
    store_.get(claim_key(shard->state.id),
               [this, alive = alive_, shard, sent](result<std::optional<store_entry>> entry) {
                   if (!*alive) {
                       return;
                   }
                   loop_.call_after(options_.shard.commit_retry,
                                    [shard] { shard->claim_check_pending = false; });
                   if (!entry || !entry.value()) {
                       return;
                   }
                   if (entry.value()->revision == shard->state.claim_revision) {
                       auto& confirmed = shard->state.claim_confirmed;
                       confirmed = std::max(confirmed.value_or(sent), sent);
                       schedule_shard(shard);
                   }
               });
}

void host_control::execute(const shard_pointer& shard, shard_actions& actions) {
    for (auto& action : actions.holds) {
        const auto id = action.target.id;
        const auto sent = actions.time; // the shard keeps commands by this time
        workers_.hold(action.target, action.command,
                      [this, alive = alive_, shard, id, sent](const result<hold_reply>& reply) {
                          if (!*alive) {
                              return;
                          }
                          if (shard->state.ownership_lost) {
                              pass_on_reply(shard, id, reply);
                              return;
                          }
                          handle_event(shard, "hold_reply", [&] {
                              on_hold_reply(shard->state, id, reply, sent, loop_.now(),
                                            loop_.unix_now());
                              schedule_shard(shard);
                          });
                      });
    }
    for (auto& action : actions.starts) {
        const auto run = action.command.run;
        workers_.start(action.target, action.command,
                       [this, alive = alive_, shard, run](const result<command_reply>& reply) {
                           if (!*alive) {
                               return;
                           }
                           handle_event(shard, "start_reply", [&] {
                               on_start_reply(shard->state, run, reply, loop_.now());
                               schedule_shard(shard);
                           });
                       });
    }
    for (auto& action : actions.stops) {
        const auto run = action.command.run;
        workers_.stop(action.target, action.command,
                      [this, alive = alive_, shard, run](const result<command_reply>& reply) {
                          if (!*alive) {
                              return;
                          }
                          handle_event(shard, "stop_reply", [&] {
                              on_stop_reply(shard->state, run, reply, loop_.now());
                              schedule_shard(shard);
                          });
                      });
    }
    for (auto& action : actions.paces) {
        const auto run = action.command.run;
        const auto percent = action.command.percent;
        workers_.pace(
            action.target, action.command,
            [this, alive = alive_, shard, run, percent](const result<command_reply>& reply) {
                if (!*alive) {
                    return;
                }
                handle_event(shard, "pace_reply", [&] {
                    on_pace_reply(shard->state, run, percent, reply);
                    schedule_shard(shard);
                });
            });
    }
    if (actions.commit) {
        const auto sent = loop_.now();
        store_.commit(std::move(*actions.commit),
                      [this, alive = alive_, shard, sent](const result<transaction_reply>& reply) {
                          if (!*alive) {
                              return;
                          }
                          handle_event(shard, "commit_reply", [&] {
                              on_commit_reply(shard->state, reply, sent, loop_.now());
                              schedule_shard(shard);
                          });
                      });
    }
    for (const auto& id : actions.index_reads) {
        store_.get(job_index_key(id), [this, alive = alive_, shard,
                                       id](const result<std::optional<store_entry>>& entry) {
            if (!*alive) {
                return;
            }
            handle_event(shard, "index_read", [&] {
                on_index_read(shard->state, id, entry, loop_.now());
                schedule_shard(shard);
            });
        });
    }
    for (const auto& message : actions.loan_messages) {
        send_loan_message(shard, message);
    }
    for (const auto& answer : actions.loan_answers) {
        const auto waiting = loan_waiting_.extract(answer.token);
        if (!waiting.empty()) {
            waiting.mapped()(answer.state);
        }
    }
    for (const auto& answer : actions.submit_answers) {
        const auto waiting = submit_waiting_.extract(answer.token);
        if (!waiting.empty()) {
            waiting.mapped()(answer);
        }
    }
    for (const auto& answer : actions.cancel_answers) {
        const auto waiting = cancel_waiting_.extract(answer.token);
        if (!waiting.empty()) {
            waiting.mapped()(answer.known ? result<job_phase>(job_phase::cancelled)
                                          : error{error_kind::not_found, "no such job"});
        }
    }
}

} // namespace fulmar
