#include "fault_harness.hpp"

#include "cell_drain.hpp"

#include <algorithm>

namespace fulmar {

namespace {

std::string claim_key(const harness& self) {
    return std::string(cells_prefix) + self.cell.value;
}

std::string progress_key(const harness& self) {
    return std::string(progress_prefix) + self.cell.value;
}

const std::string state_key = std::string(data_centres_prefix) + "dc";

void record_violation(harness& self, const std::string& what) {
    if (std::find(self.violations.begin(), self.violations.end(), what) == self.violations.end()) {
        self.violations.push_back(what);
    }
}

duration jitter(harness& self, int longest_ms) {
    return duration(std::uniform_int_distribution<int>(0, longest_ms)(self.random));
}

// Schedules an event of an owner after a delay. A paused owner processes it after its pause; if the
// owner's process has ended or was replaced, the event is dropped.
void schedule_event(harness& self, std::size_t owner, duration delay, std::function<void()> event) {
    self.events.emplace(self.now + delay, [&self, owner, instance = self.owners[owner].instance,
                                           event = std::move(event)] {
        auto& to = self.owners[owner];
        if (to.instance != instance || !to.alive) {
            return;
        }
        to.paused ? to.backlog.push_back(event) : event();
    });
}

void put(harness& self, const std::string& key, const std::string& value) {
    const auto faults = self.store.faults();
    self.store.set_faults({}); // operators retry until the write succeeds
    const auto present = self.store.get(key).value();
    (void)self.store.compare_and_swap(
        {key, value, present ? present->revision : revision_number{}, {}});
    self.store.set_faults(faults);
}

// Returns whether the stored record of a job still refers to this cell.
bool belongs_here(const harness& self, const job_id& id) {
    const auto record = self.store.peek(std::string(jobs_prefix) + id.value);
    return !record || parse_job_record(record->value).value().cell == self.cell;
}

// Checks the invariants I3, I4 and I7 when a worker executes a start.
void observe_start(harness& self, const cell_worker_model& worker, const worker_command& command) {
    if (!self.executions.insert({command.task, command.attempt, worker.id}).second) {
        return;
    }
    const auto name = command.task.job.value + "/" + std::to_string(command.task.index);
    const bool open =
        self.state == data_centre_state::in || self.state == data_centre_state::returning;
    if (!open && self.now > self.state_changed + self.timing.freshness) {
        record_violation(self, "I4: " + name + " started after the data centre left");
    }
    if (!belongs_here(self, command.task.job)) {
        record_violation(self, "I3: " + name + " started after its job was handed over");
    }
    const int runs = ++self.runs_from[{command.task, command.checkpoint}];
    if (!self.jobs.at(command.task.job).idempotent && runs > 1) {
        record_violation(self,
                         "I7: " + name + " ran twice from checkpoint '" + command.checkpoint + "'");
    }
    const auto& progress = stored_progress(self);
    const auto job = progress.jobs.find(command.task.job);
    if (job != progress.jobs.end() && job->second.checkpoints.contains(command.task.index) &&
        job->second.checkpoints.at(command.task.index).checkpoint != command.checkpoint) {
        record_violation(self, "I3: " + name + " resumed from '" + command.checkpoint +
                                   "', which is not the committed checkpoint");
    }
}

// Delivers a sync request to its worker and schedules the reply or the error, depending on the
// state of the link.
void deliver_sync(harness& self, std::size_t owner, const sync_action& action) {
    const auto index =
        self.owners[owner].cell.tables.worker_index.at(action.worker); // same order as the models
    auto& worker = self.workers[index];
    const auto link = self.links[index][owner];
    const auto answer = [&self, owner, action](duration delay, const result<sync_reply>& reply) {
        schedule_event(self, owner, delay, [&self, owner, action, reply] {
            on_sync(self.owners[owner].cell, action.worker, action.sent, reply, self.now);
        });
    };
    const auto timed_out = std::max(duration(0), action.sent + sync_timeout - self.now);
    if (link == link_state::refused) {
        return answer(duration(1), error{error_kind::unavailable, "refused"});
    }
    if (link == link_state::request_lost) {
        return answer(timed_out, error{error_kind::timeout, "request lost"});
    }
    auto request = action.request;
    if (self.ignore_epochs && request.epoch < worker.epoch) {
        request.epoch = worker.epoch;
        request.holder = worker.holder;
    }
    const auto reply = handle_sync(worker, request, self.now);
    if (reply) {
        for (std::size_t i = 0; i < request.commands.size(); ++i) {
            const auto& command = request.commands[i];
            if (command.kind == command_kind::start && !reply.value().results[i].refused) {
                observe_start(self, worker, command);
            }
        }
    }
    if (link == link_state::reply_lost) {
        return answer(timed_out, error{error_kind::timeout, "reply lost"});
    }
    answer(link == link_state::reply_late ? timed_out - duration(1) : jitter(self, 20), reply);
}

store_faults store_faults_for(harness& self, const harness_owner& owner) {
    auto faults = self.store.faults();
    faults.unavailable = faults.unavailable || !owner.store_up;
    return faults;
}

// Runs store calls of one owner. They fail if the store or the owner's link to it is down.
template <class Calls>
void with_store(harness& self, harness_owner& owner, Calls calls) {
    const auto shared = self.store.faults();
    self.store.set_faults(store_faults_for(self, owner));
    calls();
    self.store.set_faults(shared);
}

// Writes a group commit like the scheduler's commit thread: resolves a lost reply, and reads the
// progress again if the outcome of the write is unknown.
void commit(harness& self, std::size_t index, epoch_number epoch, const store_write& write) {
    auto& owner = self.owners[index];
    with_store(self, owner, [&] {
        const auto written = write_and_confirm(self.store, write);
        const bool in_doubt = !written && written.error().kind != error_kind::unavailable;
        const auto entry =
            in_doubt ? self.store.get(write.key) : result<std::optional<store_entry>>(std::nullopt);
        schedule_event(self, index, jitter(self, self.longest_commit_reply_ms),
                       [&self, &owner, epoch, written, in_doubt, entry] {
                           on_progress_written(owner.cell, epoch, written, self.now);
                           if (in_doubt && entry) {
                               on_progress_read(owner.cell, entry.value(), self.now);
                           }
                       });
    });
}

void apply_jobs(harness& self, harness_owner& owner) {
    const auto listing = self.store.list(std::string(jobs_prefix));
    if (!listing) {
        return;
    }
    if (owner.applied_jobs_epoch != owner.cell.epoch) {
        owner.applied_jobs.clear();
        owner.applied_jobs_epoch = owner.cell.epoch;
    }
    for (const auto& entry : listing.value().entries) {
        auto& applied = owner.applied_jobs[entry.key];
        if (applied == entry.revision) {
            continue;
        }
        applied = entry.revision;
        on_job(owner.cell, {entry.key.substr(jobs_prefix.size())},
               parse_job_record(entry.value).value(), entry.revision, self.now);
    }
}

void read_progress(harness& self, harness_owner& owner) {
    if (const auto entry = self.store.get(progress_key(self))) {
        on_progress_read(owner.cell, entry.value(), self.now);
    }
}

// Claims the cell if its owner is no longer a member. Keeps the epoch that the workers already have
// from this owner, unless a higher one exists.
void claim(harness& self, harness_owner& owner) {
    const auto claim = self.store.get(claim_key(self));
    if (!claim) {
        return;
    }
    revision_number revision;
    if (claim.value()) {
        const auto present = parse_cell_claim(claim.value()->value).value();
        revision = claim.value()->revision;
        owner.highest_epoch = std::max(owner.highest_epoch, present.epoch);
        const auto member = self.store.get(std::string(members_prefix) + present.owner.value);
        if (!member) {
            return;
        }
        on_claim_read(owner.cell, present, member.value().has_value());
        // A claim that this owner wrote before its member lease expired may be claimed again,
        // although the owner is a member again.
        if (member.value() && present.owner.value != owner.instance) {
            return;
        }
    }
    auto epoch = owner.cell.epoch;
    if (epoch.value == 0 || epoch < owner.highest_epoch) {
        epoch = {owner.highest_epoch.value + 1};
    }
    const auto written = write_and_confirm(
        self.store,
        {claim_key(self), serialize(cell_claim{{owner.instance}, epoch}), revision, {}});
    if (!written) {
        return;
    }
    owner.highest_epoch = epoch;
    if (owner.cell.epoch != epoch) {
        activate(owner.cell, epoch, self.now);
    }
    on_claim_confirmed(owner.cell, written.value(), self.now);
}

// Renews the member lease, then confirms the claim or claims the cell.
void run_membership(harness& self, harness_owner& owner) {
    const std::string key = std::string(members_prefix) + owner.instance;
    if (!owner.lease) {
        const auto lease = self.store.grant_lease(duration(6'000));
        const auto present = self.store.get(key);
        if (!lease || !present) {
            return;
        }
        const auto revision = present.value() ? present.value()->revision : revision_number{};
        if (!write_and_confirm(self.store, {key, owner.instance, revision, lease.value()})) {
            return;
        }
        owner.lease = lease.value();
    }
    const auto kept = self.store.keep_alive(*owner.lease);
    if (!kept) {
        if (kept.error().kind == error_kind::expired) {
            owner.lease.reset();
            deactivate(owner.cell);
            owner.cell.claim_to_release.reset();
        }
        return;
    }
    if (owner.cell.claim_revision.value != 0) {
        on_claim_confirmed(owner.cell, owner.cell.claim_revision, self.now);
    } else {
        claim(self, owner);
    }
}

// Adopts the cell's workers if the other owner has sent no heartbeats for 3 s.
void adopt(harness& self, harness_owner& owner, const harness_owner& other) {
    if (other.alive && !other.paused && self.heartbeats_up) {
        owner.other_unreachable_since = self.now;
        return;
    }
    if (owner.cell.epoch.value == 0 && owner.highest_epoch.value != 0 &&
        self.now >= owner.other_unreachable_since + duration(3'000)) {
        owner.highest_epoch.value += 1;
        activate(owner.cell, owner.highest_epoch, self.now);
    }
}

// Plans and writes the handovers of jobs to the target cell, if one is set.
void hand_over(harness& self, std::size_t index) {
    auto& cell = self.owners[index].cell;
    if (!self.handover_target) {
        return;
    }
    plan_handover(cell, *self.handover_target, self.handover_budget, self.now);
    for (const auto& write : collect_handovers(cell, self.now)) {
        self.events.emplace(self.now + jitter(self, 20), [&self, index, write] {
            with_store(self, self.owners[index], [&] {
                const auto written = write_and_confirm(self.store, write);
                schedule_event(self, index, jitter(self, 300), [&self, index, write, written] {
                    on_handover_written(self.owners[index].cell,
                                        {write.key.substr(jobs_prefix.size())}, written);
                });
            });
        });
    }
}

void run_owner(harness& self, std::size_t index) {
    auto& owner = self.owners[index];
    if (!owner.alive || owner.paused) {
        return;
    }
    while (!owner.backlog.empty()) {
        owner.backlog.front()();
        owner.backlog.pop_front();
    }
    with_store(self, owner, [&] {
        if (self.now >= owner.next_membership) {
            owner.next_membership = self.now + duration(1'500);
            run_membership(self, owner);
        }
        if (self.now < owner.next_store_read) {
            return;
        }
        owner.next_store_read = self.now + store_read_interval;
        const auto state = self.store.get(state_key);
        if (state && state.value()) {
            on_data_centre_state(
                owner.cell, parse_data_centre_record(state.value()->value).value().state, self.now);
        }
        const bool unread =
            owner.cell.claim_revision.value != 0 && owner.cell.progress.epoch != owner.cell.epoch;
        if (unread || owner.cell.progress_conflict) {
            read_progress(self, owner);
        }
        apply_jobs(self, owner);
    });
    adopt(self, owner, self.owners[1 - index]);
    const auto actions = tick(owner.cell, self.now);
    hand_over(self, index);
    owner.highest_epoch =
        std::max({owner.highest_epoch, owner.cell.epoch, owner.cell.highest_epoch});
    for (const auto& action : actions.syncs) {
        self.events.emplace(self.now + jitter(self, 20),
                            [&self, index, action] { deliver_sync(self, index, action); });
    }
    if (actions.progress_write) {
        self.events.emplace(self.now + jitter(self, 20),
                            [&self, index, epoch = actions.epoch, write = *actions.progress_write] {
                                commit(self, index, epoch, write);
                            });
    }
}

// Checks the invariants I1 and I2, and that no task is stored as finished that no worker finished.
void check_step(harness& self) {
    std::map<task_id, int> places;
    for (auto& worker : self.workers) {
        advance_worker(worker, self.now);
        if (!fits(committed_resources(worker), worker.capacity)) {
            record_violation(self, "I1: " + worker.id.value + " is committed beyond its capacity");
        }
        for (const auto& [id, task] : worker.tasks) {
            if (task.report.state == task_state::finished) {
                self.observed_finished.insert(id);
            }
            if (task.report.state == task_state::running && self.handover_target &&
                !belongs_here(self, id.job)) {
                record_violation(self, "I2: " + id.job.value +
                                           " runs here after its job was handed over");
            }
            if (task.report.state == task_state::running && ++places[id] > 1) {
                record_violation(self, "I2: " + id.job.value + "/" + std::to_string(id.index) +
                                           " runs in two places");
            }
        }
    }
    for (const auto& [id, job] : stored_progress(self).jobs) {
        for (const auto index : job.finished) {
            if (!self.observed_finished.contains({id, index})) {
                record_violation(self, "finished without running to its end: " + id.value);
            }
        }
    }
}

} // namespace

harness::harness(std::uint32_t seed, const cell_timing& cell_times, cell_id cell_name)
    : cell(std::move(cell_name))
    , random(seed)
    , timing(cell_times)
    , store([this] { return now; }) {
    for (const std::size_t owner : {0U, 1U}) {
        replace_owner(*this, owner);
    }
    for (int i = 0; i < 5; ++i) {
        cell_worker_model worker;
        worker.id = {"w" + std::to_string(i)};
        worker.capacity = {{4'000}, {4'000}, {0}};
        workers.push_back(worker);
        links.push_back({link_state::up, link_state::up});
    }
    set_state(*this, data_centre_state::in);
}

void replace_owner(harness& self, std::size_t owner) {
    auto& row = self.owners[owner];
    const auto name = "s" + std::to_string(owner) + "." + std::to_string(self.random());
    row = {};
    row.instance = name;
    row.other_unreachable_since = self.now;
    row.next_membership = self.now + duration(100 * static_cast<int>(owner));
    row.cell = make_cell(self.cell, {"dc"}, {name}, self.timing, self.counters);
    for (int i = 0; i < 5; ++i) {
        add_worker(row.cell, {"w" + std::to_string(i)},
                   {"", self.cell, {"dc"}, {"rack" + std::to_string(i % 3)}});
    }
}

void submit(harness& self, const std::string& name, const job_record& record) {
    auto created = record;
    created.cell = self.cell;
    const auto claim = self.store.get(claim_key(self));
    if (record.moves == 0 && claim && claim.value()) {
        created.created_epoch = parse_cell_claim(claim.value()->value).value().epoch;
    }
    self.jobs[{name}] = created;
    put(self, std::string(jobs_prefix) + name, serialize(created));
}

void cancel(harness& self, const std::string& name) {
    auto& record = self.jobs.at({name});
    record.cancelled = true;
    put(self, std::string(jobs_prefix) + name, serialize(record));
}

void set_state(harness& self, data_centre_state state) {
    self.state = state;
    self.state_changed = self.now;
    put(self, state_key, serialize(data_centre_record{state, "test"}));
}

void run_for(harness& self, duration length) {
    const auto end = self.now + length;
    while (self.now < end) {
        const auto next = self.now + harness_step;
        while (!self.events.empty() && self.events.begin()->first <= next) {
            auto event = self.events.extract(self.events.begin());
            self.now = std::max(self.now, event.key());
            event.mapped()();
            check_step(self);
        }
        self.now = next;
        const std::size_t first = self.random() % 2;
        run_owner(self, first);
        run_owner(self, 1 - first);
        check_step(self);
    }
}

const cell_progress& stored_progress(harness& self) {
    const auto faults = self.store.faults();
    self.store.set_faults({});
    const auto entry = self.store.get(progress_key(self)).value();
    self.store.set_faults(faults);
    if (entry && entry->revision != self.progress_revision) {
        self.progress_revision = entry->revision;
        self.progress = parse_cell_progress(entry->value).value();
    }
    return self.progress;
}

bool all_ended(harness& self) {
    const auto& progress = stored_progress(self);
    for (const auto& [id, record] : self.jobs) {
        const auto found = progress.jobs.find(id);
        for (std::uint32_t index = 0; index < record.tasks; ++index) {
            if (found == progress.jobs.end() ||
                !(found->second.finished.contains(index) || found->second.parked.contains(index) ||
                  found->second.cancelled.contains(index) ||
                  found->second.outcome_unknown.contains(index))) {
                return false;
            }
        }
    }
    return true;
}

std::string describe_owners(harness& self) {
    std::string text;
    for (const auto& owner : self.owners) {
        text += "\n" + owner.instance + ": epoch " + std::to_string(owner.cell.epoch.value) +
                ", highest " + std::to_string(owner.highest_epoch.value) + ", claim " +
                std::to_string(owner.cell.claim_revision.value) + ", owned " +
                std::to_string(owner.cell.progress_owned) + ", takeover complete " +
                std::to_string(owner.cell.takeover_complete);
        for (const auto& [id, task] : owner.cell.tables.tasks) {
            text += "; " + id.job.value + "/" + std::to_string(id.index) + " " +
                    std::string(to_string(task.phase)) + " " + std::string(task.wait_reason);
        }
    }
    return text;
}

harness_owner* active_owner(harness& self) {
    const auto found =
        std::find_if(self.owners.begin(), self.owners.end(), [](const harness_owner& owner) {
            return owner.alive && !owner.paused && owner.cell.claim_revision.value != 0;
        });
    return found == self.owners.end() ? nullptr : &*found;
}

} // namespace fulmar
