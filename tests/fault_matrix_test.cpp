#include "fault_harness.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <span>

namespace fulmar {

namespace {

// Returns the sum of all waits after a fault has ended: the member lease and the next claim, the
// wait for unreachable workers after a takeover, the time without lease grants after a worker's
// restart, syncs and commits, and the run time of the longest task.
duration recovery_bound(const cell_timing& timing) {
    const duration member_lease{6'000};
    const duration claim_interval{1'500};
    const duration longest_run{6'000};
    return member_lease + 2 * claim_interval + 3 * timing.worker_lease + 2 * timing.lease_margin +
           timing.freshness + 4 * timing.sync_interval + 6 * timing.commit_interval + longest_run;
}

void set_links(harness& self, std::size_t first, std::size_t last, link_state state) {
    for (std::size_t worker = first; worker <= last; ++worker) {
        self.links[worker] = {state, state};
    }
}

void set_owner_links(harness& self, std::size_t owner, link_state state) {
    for (auto& links : self.links) {
        links[owner] = state;
    }
}

// Returns the owner on which a fault acts: the active one, otherwise the first one alive.
harness_owner& fault_target(harness& self) {
    auto* active = active_owner(self);
    return active != nullptr ? *active : self.owners[self.owners[0].alive ? 0 : 1];
}

void restore_owners(harness& self) {
    for (const std::size_t owner : {0U, 1U}) {
        if (!self.owners[owner].alive) {
            replace_owner(self, owner);
        }
        self.owners[owner].paused = false;
    }
}

struct fault_row {
    const char* name;
    void (*begin)(harness&);
    void (*end)(harness&);
};

const std::vector<fault_row> faults{
    {"store_away", [](harness& h) { h.store.set_faults({.unavailable = true}); },
     [](harness& h) { h.store.set_faults({}); }},
    {"store_replies_lost", [](harness& h) { h.store.set_faults({.lose_replies = true}); },
     [](harness& h) { h.store.set_faults({}); }},
    {"store_writes_late", [](harness& h) { h.store.set_faults({.hold_writes = true}); },
     [](harness& h) {
         h.store.set_faults({});
         h.store.release_held_writes();
     }},
    {"owner_paused", [](harness& h) { fault_target(h).paused = true; }, restore_owners},
    {"owner_dead", [](harness& h) { fault_target(h).alive = false; }, restore_owners},
    {"heartbeats_lost", [](harness& h) { h.heartbeats_up = false; },
     [](harness& h) { h.heartbeats_up = true; }},
    {"owner_cut_off_from_store", [](harness& h) { fault_target(h).store_up = false; },
     [](harness& h) { h.owners[0].store_up = h.owners[1].store_up = true; }},
    {"owner_cut_off_from_workers",
     [](harness& h) {
         set_owner_links(h, &fault_target(h) == &h.owners[0] ? 0 : 1, link_state::request_lost);
     },
     [](harness& h) { set_links(h, 0, 4, link_state::up); }},
    {"worker_unreachable", [](harness& h) { set_links(h, 0, 0, link_state::request_lost); },
     [](harness& h) { set_links(h, 0, 0, link_state::up); }},
    {"worker_refuses_connections", [](harness& h) { set_links(h, 0, 0, link_state::refused); },
     [](harness& h) { set_links(h, 0, 0, link_state::up); }},
    {"sync_replies_lost", [](harness& h) { set_links(h, 0, 4, link_state::reply_lost); },
     [](harness& h) { set_links(h, 0, 4, link_state::up); }},
    {"sync_replies_late", [](harness& h) { set_links(h, 0, 4, link_state::reply_late); },
     [](harness& h) { set_links(h, 0, 4, link_state::up); }},
    {"worker_restarts", [](harness& h) { restart_worker(h.workers[0], h.now); }, [](harness&) {}},
    {"worker_replaced_by_smaller",
     [](harness& h) {
         restart_worker(h.workers[1], h.now);
         h.workers[1].capacity = {{2'000}, {2'000}, {0}};
     },
     [](harness&) {}},
    {"rack_lost",
     [](harness& h) {
         h.links[0] = h.links[3] = {link_state::request_lost, link_state::request_lost};
     },
     [](harness& h) { set_links(h, 0, 4, link_state::up); }},
    {"worker_gone", [](harness& h) { set_links(h, 4, 4, link_state::request_lost); },
     [](harness&) {}},
    {"rack_gone",
     [](harness& h) {
         h.links[1] = h.links[4] = {link_state::request_lost, link_state::request_lost};
     },
     [](harness&) {}},
    {"worker_fails_tasks", [](harness& h) { h.workers[2].faults.fail_all_starts = true; },
     [](harness& h) { h.workers[2].faults.fail_all_starts = false; }},
    {"operators_disagree",
     [](harness& h) {
         set_state(h, data_centre_state::draining);
         cancel(h, "b");
     },
     [](harness& h) { set_state(h, data_centre_state::returning); }},
};

bool any_task(harness& self, bool (*matches)(const cell_task&)) {
    for (const auto& owner : self.owners) {
        for (const auto& [id, task] : owner.cell.tables.tasks) {
            if (owner.alive && !owner.paused && matches(task)) {
                return true;
            }
        }
    }
    return false;
}

void evict_all(harness& self) {
    auto& cell = fault_target(self).cell;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.phase == task_phase::running) {
            set_phase(cell.tables, task, task_phase::evicting, task.worker);
        }
    }
}

template <task_phase Phase>
bool reaches(harness& self) {
    return any_task(self, [](const cell_task& task) { return task.phase == Phase; });
}

struct step_row {
    const char* name;
    void (*begin)(harness&);
    bool (*reached)(harness&); // the fault begins as soon as this is true
};

const std::vector<step_row> steps{
    {"start", [](harness&) {}, reaches<task_phase::starting>},
    {"record_intent", [](harness&) {}, reaches<task_phase::committing_intent>},
    {"renew", [](harness& h) { run_for(h, duration(3'000)); }, reaches<task_phase::running>},
    {"checkpoint",
     [](harness& h) {
         run_for(h, duration(3'000));
         evict_all(h);
     },
     reaches<task_phase::committing>},
    {"evict",
     [](harness& h) {
         run_for(h, duration(3'000));
         evict_all(h);
     },
     reaches<task_phase::evicting>},
    {"resume",
     [](harness& h) {
         run_for(h, duration(3'000));
         evict_all(h);
     },
     [](harness& h) {
         return any_task(h, [](const cell_task& task) {
             return !task.checkpoint.empty() && task.phase == task_phase::starting;
         });
     }},
    {"complete", [](harness&) {},
     [](harness& h) {
         return any_task(h, [](const cell_task& task) {
             return task.phase == task_phase::committing && task.end_state == task_state::finished;
         });
     }},
    {"cancel_waiting", [](harness& h) { cancel(h, "a"); }, [](harness&) { return true; }},
    {"cancel_starting",
     [](harness& h) {
         for (int i = 0; i < 60 && !reaches<task_phase::starting>(h); ++i) {
             run_for(h, harness_step);
         }
         cancel(h, "a");
         cancel(h, "b");
     },
     [](harness&) { return true; }},
    {"cancel_running",
     [](harness& h) {
         run_for(h, duration(3'000));
         cancel(h, "a");
         cancel(h, "b");
     },
     reaches<task_phase::stopping>},
    {"drain",
     [](harness& h) {
         run_for(h, duration(2'000));
         set_state(h, data_centre_state::draining);
     },
     reaches<task_phase::evicting>},
    {"take_over",
     [](harness& h) {
         run_for(h, duration(3'000));
         fault_target(h).alive = false;
     },
     [](harness& h) { return active_owner(h) != nullptr; }},
    {"adopt",
     [](harness& h) {
         run_for(h, duration(3'000));
         fault_target(h).paused = true;
     },
     [](harness& h) {
         return h.owners[0].cell.epoch.value != 0 && h.owners[1].cell.epoch.value != 0;
     }},
};

job_record make_job(std::uint32_t tasks, std::int64_t run_ms, bool idempotent) {
    job_record record;
    record.tasks = tasks;
    record.need = {{1'000}, {1'000}, {0}};
    record.run_ms = run_ms;
    record.idempotent = idempotent;
    return record;
}

struct outcome_row {
    std::vector<std::string> violations;
    bool ended = false;
    std::string open;
};

// Runs one row: reaches the step, injects the faults, keeps them for 2 to 32 s, ends them and
// waits for the recovery bound.
outcome_row run_row(harness& self, const step_row& step, std::span<const fault_row> row) {
    run_for(self, duration(8'000)); // until the cell is claimed
    submit(self, "a", make_job(6, 6'000, true));
    submit(self, "b", make_job(4, 5'000, false));
    submit(self, "c", make_job(6, 1'000, true));
    step.begin(self);
    for (int i = 0; i < 400 && !step.reached(self); ++i) {
        run_for(self, harness_step);
    }
    for (const auto& fault : row) {
        fault.begin(self);
        run_for(self, duration(self.random() % 1'500));
    }
    submit(self, "late", make_job(2, 1'000, false));
    run_for(self, duration(2'000 + self.random() % 30'000));
    for (const auto& fault : row) {
        fault.end(self);
    }
    restore_owners(self);
    set_state(self, data_centre_state::in);
    run_for(self, recovery_bound(self.timing));
    return {self.violations, all_ended(self), describe_owners(self)};
}

std::string describe(const step_row& step, std::span<const fault_row> row, std::uint32_t seed) {
    std::string text = std::string("step ") + step.name;
    for (const auto& fault : row) {
        text += std::string(", fault ") + fault.name;
    }
    return text + ", seed " + std::to_string(seed);
}

void check_row(const step_row& step, std::span<const fault_row> row, std::uint32_t seed) {
    harness self(seed);
    const auto found = run_row(self, step, row);
    INFO(describe(step, row, seed));
    for (const auto& violation : found.violations) {
        FAIL_CHECK(violation);
    }
    INFO(found.open);
    CHECK(found.ended);
}

constexpr std::uint32_t seeds = 3;

} // namespace

// Guards against a single fault, at any step from the start to the end of a task, that violates an
// invariant or leaves tasks unfinished after the fault has ended.
TEST_CASE("every fault at every step keeps the invariants", "[fault_matrix]") {
    for (const auto& step : steps) {
        for (const auto& fault : faults) {
            for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
                check_row(step, std::span(&fault, 1), seed);
            }
        }
    }
}

// Guards against a recovery that is correct for one fault but fails while another fault lasts.
TEST_CASE("pairs of faults keep the invariants", "[fault_matrix]") {
    for (const auto& step : steps) {
        for (std::size_t a = 0; a < faults.size(); ++a) {
            for (std::size_t b = 0; b < faults.size(); ++b) {
                if (a != b) {
                    const std::array pair{faults[a], faults[b]};
                    check_row(step, pair, static_cast<std::uint32_t>(100 * a + b));
                }
            }
        }
    }
}

// Counts the violations whose text starts with the invariant's name.
std::ptrdiff_t count_violations(const harness& self, const std::string& invariant) {
    return std::count_if(
        self.violations.begin(), self.violations.end(),
        [&](const std::string& violation) { return violation.starts_with(invariant); });
}

// Guards against a matrix that can't detect a start sent too late: the data centre state that
// permitted it became stale while its intent was being stored (mutation: no recheck before the
// send).
TEST_CASE("a missing freshness recheck breaks I4", "[fault_matrix]") {
    for (const bool mutated : {false, true}) {
        cell_timing timing;
        timing.skip_freshness_recheck = mutated;
        std::ptrdiff_t found = 0;
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            harness self(seed, timing);
            run_for(self, duration(8'000));
            self.longest_commit_reply_ms = 9'000;
            submit(self, "intents", make_job(3, 1'000, false));
            run_for(self, duration(1'500));
            fault_target(self).store_up = false;
            set_state(self, data_centre_state::draining);
            run_for(self, duration(15'000));
            found += count_violations(self, "I4");
        }
        CHECK((found > 0) == mutated);
    }
}

// Guards against a matrix that can't detect a superseded owner that keeps renewing the lease of a
// worker whose tasks its successor restarts elsewhere (mutation: workers ignore the epoch).
TEST_CASE("a worker that ignores epochs breaks I2", "[fault_matrix]") {
    for (const bool mutated : {false, true}) {
        std::ptrdiff_t found = 0;
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            harness self(seed);
            self.ignore_epochs = mutated;
            run_for(self, duration(8'000));
            submit(self, "long", make_job(10, 90'000, true));
            run_for(self, duration(3'000));
            const std::size_t owner = &fault_target(self) == self.owners.data() ? 0 : 1;
            self.owners[owner].store_up = false;
            self.links[0][1 - owner] = link_state::request_lost;
            run_for(self, duration(60'000));
            found += count_violations(self, "I2");
        }
        CHECK((found > 0) == mutated);
    }
}

// Guards against restarting the tasks of unreachable workers when no majority of workers proves
// that their leases have ended. Such a cell must wait and keep the tasks of its reachable workers.
TEST_CASE("a takeover without a majority starts nothing and loses nothing", "[fault_matrix]") {
    harness self(1);
    run_for(self, duration(8'000));
    submit(self, "a", make_job(10, 3'000, true));
    run_for(self, duration(1'000));
    fault_target(self).alive = false;
    set_links(self, 0, 2, link_state::request_lost);
    run_for(self, duration(60'000));
    CHECK(self.violations.empty());
    CHECK_FALSE(all_ended(self));
    set_links(self, 0, 2, link_state::up);
    run_for(self, recovery_bound(self.timing));
    CHECK(self.violations.empty());
    CHECK(all_ended(self));
}

// Guards against a result that is discarded because its worker was declared lost before the result
// arrived.
TEST_CASE("a late result replaces an unknown outcome", "[fault_matrix]") {
    harness self(1);
    run_for(self, duration(8'000));
    submit(self, "once", make_job(5, 6'000, false));
    run_for(self, duration(3'000));
    set_links(self, 0, 4, link_state::request_lost);
    run_for(self, duration(40'000));
    set_links(self, 0, 4, link_state::up);
    run_for(self, recovery_bound(self.timing));
    CHECK(self.violations.empty());
    CHECK(stored_progress(self).jobs.at({"once"}).finished.size() == 5);
    CHECK(stored_progress(self).jobs.at({"once"}).outcome_unknown.empty());
}

} // namespace fulmar
