#include "sim_parts.hpp"

namespace fulmar {

namespace {

constexpr duration refusal_time{1'000};

std::string kind_of(const store_transaction& transaction, const host_id& sender) {
    const auto puts = [&](std::string_view prefix) {
        return std::any_of(transaction.puts.begin(), transaction.puts.end(),
                           [&](const store_put& put) { return put.key.starts_with(prefix); });
    };
    if (puts(claims_prefix)) {
        const auto claim = parse_claim(transaction.puts.front().value);
        return claim && host_name_of(claim.value().owner) == sender ? "claim" : "handover";
    }
    return puts(hosts_prefix)                  ? "registration"
           : puts(shard_list_key)              ? "shard_list"
           : puts(requests_prefix)             ? "request"
           : transaction.conditions.size() > 2 ? "submission"
           : puts("data/")                     ? "progress"
                                               : "other";
}

error_kind error_of(const lost_answer& lost) {
    return lost.times_out ? error_kind::timeout : error_kind::outcome_unknown;
}

} // namespace

void sim_world::set_unconfirmed_limit(duration limit) {
    for (auto& host : hosts_) {
        host->options.shard.unconfirmed_limit = limit;
        kill_host(host->index);
        start_host(host->index);
    }
}

void sim_world::set_isolated_limit(duration limit) {
    for (auto& host : hosts_) {
        host->options.shard.isolated_limit = limit;
        kill_host(host->index);
        start_host(host->index);
    }
}

void sim_world::suspend_host(std::size_t index, duration time) {
    freeze_host(index, time);
    auto& host = *hosts_[index];
    host.suspended_until = host.frozen_until;
    host.suspended_total += time;
}

// Returns how long after a suspension something arrives that was sent during it.
duration sim_world::resend_delay(const sim_host& host) {
    return duration(host.suspended_until > now_ ? random_() % 2'000 : 0);
}

std::size_t sim_world::answers_lost(const std::string& kind) const {
    const auto found = answers_lost_.find(kind);
    return found == answers_lost_.end() ? 0 : found->second;
}

// Returns the fault of a call if the next one of its kind has one.
std::optional<lost_answer> sim_world::take_lost_answer(std::string_view kind,
                                                       const std::string& receiver) {
    if (!lost_answer_ || lost_answer_->kind != kind) {
        return std::nullopt;
    }
    ++answers_lost_[lost_answer_->kind];
    if (lost_answer_->refuses) {
        refuses_until_[receiver] = now_ + refusal_time;
    }
    return std::exchange(lost_answer_, std::nullopt);
}

bool sim_world::refuses(const std::string& receiver) const {
    const auto found = refuses_until_.find(receiver);
    return found != refuses_until_.end() && now_ < found->second;
}

class sim_loop final : public event_loop {
  public:
    sim_loop(sim_world& world, std::size_t host, std::uint64_t incarnation)
        : world_(world)
        , host_(host)
        , incarnation_(incarnation) {}

    time_point now() const override {
        return world_.now_ - (world_.clocks_count_suspensions ? duration(0) : suspended_total());
    }
    unix_time unix_now() const override { return world_.unix_now(); }
    void call_after(duration delay, std::function<void()> task) override {
        wait_until(world_.now_ + delay, suspended_total(), std::move(task));
    }

  private:
    duration suspended_total() const { return world_.hosts_[host_]->suspended_total; }

    // Runs a task at `due`, later by the suspensions that begin until then: `total` is the time of
    // those before.
    void wait_until(time_point due, duration total, std::function<void()> task) {
        world_.at(due - world_.now_, [this, due, total, task = std::move(task)] {
            const auto& host = *world_.hosts_[host_];
            if (!host.alive || host.incarnation != incarnation_) {
                return;
            }
            const auto next = std::max(due + (host.suspended_total - total), host.frozen_until);
            if (next > world_.now_) {
                wait_until(next, host.suspended_total, task);
                return;
            }
            task();
        });
    }

    sim_world& world_;
    std::size_t host_;
    std::uint64_t incarnation_;
};

// One host's connection to the store.
class sim_store final : public async_store {
  public:
    sim_store(sim_world& world, std::size_t host, std::uint64_t incarnation)
        : world_(world)
        , host_(host)
        , incarnation_(incarnation) {}

    void get(const std::string& key, store_callback<std::optional<store_entry>> done) override {
        const auto delay =
            key.starts_with("data/") ? world_.hosts_[host_]->data_read_delay : duration(0);
        call<std::optional<store_entry>>(
            std::move(done), "",
            [this, key] {
                auto entry = world_.store_.get(key);
                if (entry) {
                    world_.hosts_[host_]->count_bytes(*entry);
                }
                return entry;
            },
            delay);
    }

    void list(const std::string& prefix, const std::string& after, read_mode /*mode*/,
              store_callback<store_page> done) override {
        constexpr std::size_t page = 100;
        call<store_page>(std::move(done), "", [this, prefix, after] {
            auto received = world_.store_.list(prefix, after, page);
            for (const auto& entry : received.entries) {
                world_.hosts_[host_]->count_bytes(entry);
            }
            return received;
        });
    }

    void watch(const std::string& prefix, revision_number after, duration wait,
               store_callback<store_events> done) override {
        if (refuse<store_events>(done)) {
            return;
        }
        world_.at(world_.latency(), [this, prefix, after, wait, done = std::move(done)] {
            world_.watches_.push_back(
                {host_, incarnation_, prefix, after, world_.now_ + wait, done});
            world_.answer_watches();
        });
    }

    void commit(store_transaction transaction, store_callback<transaction_reply> done) override {
        const auto kind = kind_of(transaction, world_.hosts_[host_]->options.name);
        call<transaction_reply>(std::move(done), kind, [this, transaction] {
            auto reply = world_.store_.commit(transaction);
            if (reply && reply.value().applied) {
                world_.note_planned_starts(transaction);
            }
            world_.answer_watches();
            return reply;
        });
    }

    void grant_lease(duration ttl, store_callback<lease_id> done) override {
        call<lease_id>(std::move(done), "lease",
                       [this, ttl] { return world_.store_.grant_lease(ttl, world_.now_); });
    }

    void keep_alive(lease_id lease, store_callback<void> done) override {
        call<duration>(
            [done = std::move(done)](result<duration> ttl) {
                if (ttl) {
                    done(outcome::success());
                } else {
                    done(ttl.error());
                }
            },
            "keep", [this, lease] { return world_.store_.keep_alive(lease, world_.now_); });
    }

  private:
    // The store may refuse one host while it answers the others.
    std::string receiver() const { return "store for " + std::to_string(host_); }
    store_mode mode() const {
        return world_.refuses(receiver()) ? store_mode::busy : world_.hosts_[host_]->mode;
    }

    template <class T>
    void fail(const store_callback<T>& done, duration delay, error_kind kind) {
        world_.on_host(host_, incarnation_, delay, [done, kind] {
            done(error{kind, "simulated"});
        });
    }

    // Fails a call according to the store's mode; returns false if the store is up.
    template <class T>
    bool refuse(const store_callback<T>& done) {
        static constexpr duration timeout{1'000};
        switch (mode()) {
        case store_mode::up:
            return false;
        case store_mode::silent:
            fail<T>(done, timeout, error_kind::timeout);
            return true;
        case store_mode::busy:
            fail<T>(done, world_.latency(), error_kind::unavailable);
            return true;
        case store_mode::reset:
            fail<T>(done, world_.latency(), error_kind::outcome_unknown);
            return true;
        }
        return false;
    }

    // `kind` is empty for a read.
    template <class T, class Action>
    void call(store_callback<T> done, std::string_view kind, Action action,
              duration reply_delay = duration(0)) {
        static constexpr duration timeout{1'000};
        if (refuse<T>(done)) {
            return;
        }
        const bool writes = !kind.empty();
        if (const auto fault = world_.take_lost_answer(kind, receiver())) {
            const auto arrival = world_.latency();
            world_.at(arrival + fault->late, [action] { static_cast<void>(action()); });
            fail<T>(done, fault->times_out ? timeout : arrival + world_.latency(),
                    error_of(*fault));
            return;
        }
        if (writes && world_.chance(world_.late_writes)) {
            const duration late{1'000 + static_cast<std::int64_t>(world_.random_() % 3'000)};
            world_.at(late, [action] { static_cast<void>(action()); });
            fail<T>(done, timeout, error_kind::timeout);
            return;
        }
        const bool lost = writes && world_.chance(world_.lost_replies);
        world_.at(world_.latency(), [this, done, action, lost, reply_delay] {
            result<T> reply = action();
            if (lost) {
                fail<T>(done, timeout, error_kind::timeout);
                return;
            }
            world_.on_host(host_, incarnation_, world_.latency() + reply_delay,
                           [done, reply = std::move(reply)] { done(reply); });
        });
    }

    sim_world& world_;
    std::size_t host_;
    std::uint64_t incarnation_;
};

class sim_peer_link final : public peer_link {
  public:
    sim_peer_link(sim_world& world, std::size_t host, std::uint64_t incarnation)
        : world_(world)
        , host_(host)
        , incarnation_(incarnation) {}

    void send(const socket_address& to, const std::string& datagram) override {
        const auto peer = find(to);
        if (!is_connected(peer) || is_cut(host_, peer)) {
            return;
        }
        const auto incarnation = world_.hosts_[peer]->incarnation;
        world_.on_host(peer, incarnation, world_.latency(), [this, peer, datagram] {
            world_.hosts_[peer]->control->on_datagram(datagram);
        });
    }

    void call(const socket_address& to, const std::string& method, std::string body,
              duration timeout, peer_reply done) override {
        const auto peer = find(to);
        const auto ended = std::make_shared<bool>(false);
        const auto finish = [ended, done = std::move(done)](const result<std::string>& reply) {
            if (!std::exchange(*ended, true)) {
                done(reply);
            }
        };
        world_.on_host(host_, incarnation_, timeout, [finish] {
            finish(error{error_kind::timeout, "no answer"});
        });
        if (!is_connected(peer) || is_cut(host_, peer)) {
            return;
        }
        const auto fail = [this, finish](duration delay, error_kind kind) {
            world_.on_host(host_, incarnation_, delay, [finish, kind] {
                finish(error{kind, "simulated"});
            });
        };
        const auto receiver = "host " + std::to_string(peer);
        if (world_.refuses(receiver)) {
            fail(world_.latency(), error_kind::unavailable);
            return;
        }
        const auto incarnation = world_.hosts_[peer]->incarnation;
        const auto arrival = world_.latency();
        const auto fault = world_.take_lost_answer("peer." + method, receiver);
        if (fault && !fault->times_out) {
            fail(arrival + world_.latency(), error_of(*fault));
        }
        world_.on_host(peer, incarnation, arrival + (fault ? fault->late : duration(0)),
                       [this, peer, method, body = std::move(body), finish, lost = !!fault] {
                           world_.hosts_[peer]->control->on_peer_call(
                               method, body,
                               [this, peer, finish, lost](const result<std::string>& reply) {
                                   if (!lost && is_connected(peer) && !is_cut(peer, host_)) {
                                       world_.on_host(host_, incarnation_, world_.latency(),
                                                      [finish, reply] { finish(reply); });
                                   }
                               });
                       });
    }

  private:
    std::size_t find(const socket_address& to) const {
        return static_cast<std::size_t>(to.port - 1);
    }
    bool is_connected(std::size_t peer) const {
        return peer < world_.hosts_.size() && world_.hosts_[peer]->alive &&
               !world_.partitions_.contains(std::minmax(host_, peer));
    }
    bool is_cut(std::size_t from, std::size_t to) const {
        return world_.is_cut(world_.hosts_[from]->options.data_centre,
                             world_.hosts_[to]->options.data_centre);
    }

    sim_world& world_;
    std::size_t host_;
    std::uint64_t incarnation_;
};

// One host's connection to the workers.
class sim_worker_link final : public worker_link {
  public:
    sim_worker_link(sim_world& world, std::size_t host, std::uint64_t incarnation)
        : world_(world)
        , host_(host)
        , incarnation_(incarnation) {}

    void start(const worker_target& worker, const start_command& command,
               std::function<void(result<command_reply>)> done) override {
        call<command_reply>("start", worker, std::move(done),
                            [command](worker_model& model, time_point now) {
                                return as_sent(model.start(command, now));
                            });
    }
    void stop(const worker_target& worker, const stop_command& command,
              std::function<void(result<command_reply>)> done) override {
        call<command_reply>("stop", worker, std::move(done),
                            [command](worker_model& model, time_point now) {
                                return as_sent(model.stop(command, now));
                            });
    }
    void pace(const worker_target& worker, const pace_command& command,
              std::function<void(result<command_reply>)> done) override {
        call<command_reply>("pace", worker, std::move(done),
                            [command](worker_model& model, time_point now) {
                                return as_sent(model.pace(command, now));
                            });
    }
    void hold(const worker_target& worker, const hold_command& command,
              std::function<void(result<hold_reply>)> done) override {
        const auto until = world_.now_ + command.wait;
        wait_for_end(worker, command, until, std::move(done));
    }

  private:
    // The platform's workers tell the start time of their process in the replies to holds only.
    static command_reply as_sent(command_reply reply) {
        reply.start_time.reset();
        return reply;
    }

    sim_worker* find(const worker_target& worker) const {
        const auto found = world_.workers_.find(worker.id.value);
        const bool reached = found != world_.workers_.end() && found->second.model &&
                             !found->second.disconnected &&
                             !found->second.disconnected_hosts.contains(host_) &&
                             !world_.is_cut(world_.hosts_[host_]->options.data_centre,
                                            found->second.entry.data_centre);
        return reached ? &found->second : nullptr;
    }

    // Returns whether the worker has ended and another one that this host reaches has its address.
    bool is_replaced(const worker_target& worker) const {
        const auto own = world_.workers_.find(worker.id.value);
        if (own != world_.workers_.end() && own->second.model) {
            return false;
        }
        return std::any_of(world_.workers_.begin(), world_.workers_.end(), [&](const auto& row) {
            return row.second.entry.target.address == worker.address &&
                   find(row.second.entry.target) != nullptr;
        });
    }

    template <class Reply, class Action>
    void call(std::string_view kind, const worker_target& worker,
              std::function<void(result<Reply>)> done, Action action) {
        static constexpr duration timeout{1'200};
        const auto fail = [this, done](duration delay, error_kind failure = error_kind::timeout) {
            world_.on_host(host_, incarnation_, delay, [done, failure] {
                done(error{failure, "no answer"});
            });
        };
        const auto answer = [this, done](command_outcome outcome) {
            world_.on_host(host_, incarnation_, world_.latency(), [done, outcome] {
                Reply reply;
                reply.outcome = outcome;
                done(reply);
            });
        };
        // Whichever process has the worker's id then gets the call, also if it is cut off.
        const auto carry_out_late = [this, worker, action](duration late) {
            world_.at(late, [this, worker, action] {
                const auto current = world_.workers_.find(worker.id.value);
                if (current != world_.workers_.end() && current->second.model) {
                    action(*current->second.model, world_.now_);
                }
            });
        };
        const auto* target = find(worker);
        if (target == nullptr && is_replaced(worker)) {
            answer(command_outcome::other_incarnation);
            return;
        }
        if (target == nullptr) {
            fail(timeout);
            return;
        }
        if (world_.refuses(worker.id.value)) {
            answer(command_outcome::unhealthy);
            return;
        }
        if (const auto fault = world_.take_lost_answer(kind, worker.id.value)) {
            const auto arrival = world_.latency();
            carry_out_late(arrival + fault->late);
            fail(fault->times_out ? timeout : arrival + world_.latency(), error_of(*fault));
            return;
        }
        if (world_.chance(target->late_commands)) {
            carry_out_late(duration(2'000 + static_cast<std::int64_t>(world_.random_() % 10'000)));
            fail(timeout);
            return;
        }
        world_.at(world_.latency(), [this, worker, done, action, fail] {
            auto* current = find(worker);
            if (current == nullptr) {
                fail(timeout);
                return;
            }
            const auto reply = action(*current->model, world_.now_);
            if (world_.is_cut(current->entry.data_centre,
                              world_.hosts_[host_]->options.data_centre)) {
                fail(timeout);
                return;
            }
            world_.on_host(host_, incarnation_, world_.latency(), [done, reply] { done(reply); });
        });
    }

    // Answers a hold once there is a run end to return or the wait is over.
    void wait_for_end(const worker_target& worker, const hold_command& command, time_point until,
                      std::function<void(result<hold_reply>)> done) {
        constexpr duration poll{10};
        auto* target = find(worker);
        if (target != nullptr) {
            target->model->advance(world_.now_);
        }
        if (target == nullptr || target->model->has_unacknowledged_ends() || world_.now_ >= until) {
            call<hold_reply>("hold", worker, std::move(done),
                             [command](worker_model& model, time_point now) {
                                 return model.hold(command, now);
                             });
            return;
        }
        world_.at(poll, [this, worker, command, until, done = std::move(done)] {
            wait_for_end(worker, command, until, done);
        });
    }

    sim_world& world_;
    std::size_t host_;
    std::uint64_t incarnation_;
};

std::unique_ptr<event_loop> make_sim_loop(sim_world& world, std::size_t host,
                                          std::uint64_t incarnation) {
    return std::make_unique<sim_loop>(world, host, incarnation);
}

std::unique_ptr<async_store> make_sim_store(sim_world& world, std::size_t host,
                                            std::uint64_t incarnation) {
    return std::make_unique<sim_store>(world, host, incarnation);
}

std::unique_ptr<worker_link> make_sim_worker_link(sim_world& world, std::size_t host,
                                                  std::uint64_t incarnation) {
    return std::make_unique<sim_worker_link>(world, host, incarnation);
}

std::unique_ptr<peer_link> make_sim_peer_link(sim_world& world, std::size_t host,
                                              std::uint64_t incarnation) {
    return std::make_unique<sim_peer_link>(world, host, incarnation);
}

} // namespace fulmar
