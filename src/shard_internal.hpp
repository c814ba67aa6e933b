// Functions shared by the source files of shard control.
#pragma once

#include "shard_control.hpp"

namespace fulmar {

// Returns a lower bound for the worker's clock now, or nothing before its first reply. The bound
// allows for a slow clock.
std::optional<worker_clock> earliest_clock(const shard_state& shard, const worker_row& worker,
                                           time_point now);

// Which incarnation of a worker carried a command out: the one that the worker's row describes, one
// before it, another one, or that can't be told.
enum class incarnation_match : std::uint8_t { known, unclear, former, other };

std::string_view to_string(incarnation_match match);

// Finds that out from the reply to a command that was sent at `sent`. Commands name the worker's id
// only, so a worker that has restarted executes those that were meant for its former incarnation.
incarnation_match match_incarnation(const shard_timing& timing, const worker_row& worker,
                                    const command_reply& reply, time_point sent, time_point now);

// Returns the end of the lease for a command that is sent now, in the worker's clock. The worker
// must have replied before.
worker_clock next_lease(const shard_state& shard, const worker_row& worker, time_point now);

// Returns whether every lease that the worker's known incarnation was granted has certainly ended.
bool has_lapsed(const shard_state& shard, const worker_row& worker, time_point now);

// Returns whether every lease that a run may have has certainly ended, in whichever incarnation of
// its worker it is.
bool has_lapsed(const shard_state& shard, const worker_row& worker, const run_row& run,
                time_point now);

// Returns by when the leases end that an incarnation of the worker may have which no reply has
// shown.
time_point find_unnoticed_leases_end(const shard_timing& timing, const worker_row& worker);

// Note that a command with a lease is sent to the worker, and that it got a reply or wasn't sent.
void note_lease_sent(const shard_timing& timing, worker_row& worker, time_point now);
void note_lease_answered(worker_row& worker, time_point sent);

// Returns whether an incarnation that began after the worker's last reply may have executed a
// command with a lease. Called before the first reply of that incarnation is noted.
bool may_have_taken_lease(const shard_state& shard, const worker_row& worker, time_point now);

// Returns the token for a command to the worker. Those of later owners are higher.
fencing_token make_token(const shard_state& shard, const worker_row& worker);

// Returns a fence that no worker has.
std::uint32_t next_fence(shard_state& shard);

// Has the worker refuse all commands that were sent before, from its next reply on.
void raise_fence(shard_state& shard, worker_row& worker);

// Handles that the worker refused a command with this fence: if it was the present one, there is
// another owner.
void on_fenced(shard_state& shard, const worker_row& worker, std::uint32_t fence);

// Returns whether the incarnation that replied to the last hold executes no command any more that
// was sent before it and has no reply.
bool refuses_former_commands(const worker_row& worker);

// Returns whether a start of the run that has no reply could still be executed at that time.
bool may_start_late(const run_row& run, time_point at);

// Returns whether a run is in the worker's known incarnation, or else nowhere.
bool is_certain(const worker_row& worker, const run_row& run);

// Returns the open starts that a successor has to know, with those that it inherited.
std::vector<open_start> find_open_starts(const shard_state& shard, time_point now);

// Returns when each of them was last sent.
sent_starts find_sent_starts(const shard_state& shard, time_point now);

// Returns whether the stored record lacks one of them.
bool has_new_open_starts(const shard_state& shard, time_point now);

// Takes over the record, which counts unless a later owner has committed since.
void load_open_starts(shard_state& shard, const open_starts_record& record, epoch_number last);

// Adds the runs of former owners whose starts were open, so that their tasks start nowhere else
// before these are over.
void adopt_open_starts(shard_state& shard, time_point now);

// Has a worker that seems to have restarted asked at once for its runs. It gets nothing before.
void suspect_restart(shard_state& shard, worker_row& worker, std::string_view evidence,
                     time_point now);

// Resets the state that belongs to an earlier incarnation of a worker, when a reply shows that it
// has restarted.
void reset_worker_state(shard_state& shard, worker_row& worker, time_point now);

// Sends starts again that got no reply, to the same workers. Whichever of the two is executed, it
// is the same run.
void repeat_starts(shard_state& shard, time_point now, shard_actions& actions);

// Logs a gap in the numbers of the run ends that a worker lists: it deleted ends that this owner
// hasn't seen, on an acknowledgement that was meant for its former incarnation.
void check_end_numbers(shard_state& shard, const worker_row& worker,
                       const std::vector<run_end>& ended);

// Returns whether this owner may still renew leases and start tasks: the store confirmed its claim,
// or most of the workers and of either kind of witnesses accepted its epoch, within the
// confirmation window.
bool has_authority(const shard_state& shard, time_point now);

// For how long an owner goes on that the store doesn't confirm: while half of the witnesses of each
// other data centre do, and otherwise.
struct owner_limits {
    duration unconfirmed;
    duration isolated;
};

owner_limits find_limits(const shard_timing& timing);

// Finds the former owners that may still act, from the loaded records.
void find_former_owners(shard_state& shard);

// Completes the takeover once no run of a former owner can be unknown to this one.
void complete_takeover(shard_state& shard, time_point now);

// Logs once that this owner has lost its authority because the store hasn't applied a transaction
// for too long.
void log_authority_limit(shard_state& shard, time_point now);

// Marks the shard as lost to another owner. This owner sends no further commands for it.
void lose_shard(shard_state& shard, std::string_view reason);

// Removes a run whose worker's incarnation, or whose leases have ended.
void end_lost_run(shard_state& shard, const run_key& key, std::string_view reason, time_point now);

// Requests the stop of a run; the next advance sends the command.
void request_stop(run_row& run, stop_cause cause, time_point now);

// Opens the occurrences of a job that are due.
void open_due_occurrences(shard_state& shard, job_row& job, unix_time unix_now);

// Opens the occurrence of a task that a worker reports a run of, and those before it. A former
// owner, whose clock may have been ahead, started the run; or this owner has opened none yet.
void open_reported_occurrence(shard_state& shard, const task_key& key, unix_time unix_now);

// Ends a job, stops its runs, withdraws its loans and marks its record for storing.
void end_job(shard_state& shard, job_row& job, job_phase phase, time_point now, unix_time unix_now);

// Applies the end of a run to its task and its job.
void apply_run_end(shard_state& shard, const worker_id& worker, const run_end& row, time_point now,
                   unix_time unix_now);

// Pauses starts on a worker that refused one, didn't reply to one, or had failed runs. The pause
// doubles with each consecutive failure.
void pause_starts(const shard_state& shard, worker_row& worker, time_point now);

// Handles the end of a task's run that a worker listed to this owner.
void on_run_ended(shard_state& shard, worker_row& worker, const run_end& row, time_point now,
                  unix_time unix_now);

// Marks a job's record as changed. An urgent change is stored without the commit delay.
void record_change(shard_state& shard, job_row& job, bool urgent, time_point now);

// Copies from a step to a run what it needs and what matters for sharing a worker.
void apply_step_spec(run_row& run, const step_spec& step);

// Updates the estimates of effects with a worker's measurements, then sets the pace of its fillers.
void pace_fillers(shard_state& shard, worker_row& worker, time_point now);

// Sets the pace of a worker's fillers from the current estimates. Also called when a filler starts.
void plan_paces(shard_state& shard, worker_row& worker, time_point now);

// Sends the target paces that differ from the confirmed ones.
void send_paces(shard_state& shard, shard_actions& actions);

// Returns the share of full pace, 0 to 1, at which a filler of this step could run on the worker
// now.
double predict_pace(const shard_state& shard, const worker_row& worker, const step_spec& step,
                    time_point now);

// Returns whether a filler of this step could work at full pace on the worker for a moment without
// taking a serving task over its target.
bool leaves_slack_at_start(const shard_state& shard, const worker_row& worker,
                           const step_spec& step, time_point now);

// Returns the processors, in thousandths of a core, that additional fillers of an image may use on
// the worker at full pace without disturbing its serving tasks.
double undisturbing_room(const shard_state& shard, const worker_row& worker,
                         const std::string& image, time_point now);

// Returns the share of the worker's processors that serving tasks of other images have or that is
// reserved for them.
double other_serving_share(const shard_state& shard, const worker_row& worker,
                           const std::string& image);

// Returns whether both fillers and serving tasks run on the worker.
bool is_shared(const shard_state& shard, const worker_row& worker);

// Moves serving tasks to workers whose tasks are disturbed by the same fillers, where that leaves
// more processors for fillers on other workers. Also expires reservations and updates the
// undisturbing rooms.
void regroup_tasks(shard_state& shard, time_point now);

// Moves long-running tasks off draining workers if there is room for them elsewhere.
void drain_long_running_tasks(shard_state& shard, time_point now);

// Lifetime of a reservation. A stop and a start take about a second, and short tasks mostly end
// within two.
constexpr duration reservation_time{3'000};

// Reserves room on a worker for a task, which starts there as soon as it fits. Replaces an earlier
// reservation of the task.
void reserve(shard_state& shard, const task_key& key, const resources& need, worker_row& worker,
             time_point now);

// Reserves room for a long-running task that waits or has to move: on a worker where it fits now,
// or else on one where it fits once shorter tasks have ended. Returns whether the task has a
// reservation.
bool reserve_for_long_running(shard_state& shard, const job_row& job, const stage_row& stage,
                              const task_key& key, time_point now);

// On how many workers a need fits once short tasks have ended, beside the reservations for other
// tasks and without them, and the most processors that any worker has without them.
struct room_count {
    std::size_t beside_reservations = 0;
    std::size_t without_reservations = 0;
    millicores most;
};

// Counts the workers with a label that could hold a long-running task, for log lines.
room_count count_room_for(const shard_state& shard, const resources& need,
                          const service_id& service, const std::string& label, time_point now);

// A request or a grant that isn't repeated ends after this. Requests are repeated about three times
// in this time.
constexpr duration room_request_validity{1'000};

// Reads the task that a room request or a grant is about. Throws a std::exception if it is
// malformed.
task_key decode_room_key(const json& from);

// Reserves room for the tasks of other shards that wait for it, in the order of their claims.
void serve_room_requests(shard_state& shard, time_point now);

// The same for those that come before an own task. Returns for how many it reserved room.
std::size_t serve_earlier_requests(shard_state& shard, const room_claim& before, time_point now);

// Returns whether the shard's owner may hold room for tasks of other shards, and whether it may
// reserve any for them.
bool holds_rooms(const shard_state& shard, time_point now);
bool grants_room(const shard_state& shard, time_point now);

// Adds a request that a former owner passed on, with its room if `worker` isn't null.
void take_over_request(shard_state& shard, const task_key& key, const room_request& request,
                       worker_row* worker, time_point now);

// Returns whether workers that could run the tasks of a stage are about to be known to an owner
// that has just loaded the shard.
bool awaits_workers(const shard_state& shard, const job_row& job, const stage_row& stage,
                    time_point now);

// Gives the rooms that were granted for the tasks of a loan to the tasks. Each then has the
// reservation like a task that found the room itself.
void use_granted_rooms(shard_state& shard, const job_row& job, const borrowed_tasks& loan,
                       time_point now);

// Returns the shard that holds free room for a task, or nullptr if none does.
lending_room* find_granter(shard_state& shard, const task_key& key, time_point now);

// Returns the place of a task without a run among those that wait. Its wait is known to the second:
// tasks are looked at once a second, and other tasks of the step may have waited for longer.
room_claim find_claim(const shard_state& shard, const stage_row& stage, const task_row& task,
                      time_point now);

// Reservations on one worker that give way to a longer wait.
struct displacement {
    std::vector<task_key> keys;
    millicores processors;
};

// Returns which reservations on a worker, for tasks that come after one with this claim, make room
// for its need. Returns nothing if it doesn't fit then, or without that.
std::optional<displacement> plan_displacement(shard_state& shard, const worker_row& worker,
                                              const resources& need, const room_claim& claim,
                                              time_point now);

// Returns whether the worker has reached a step's spread limit, counting active runs of the stage,
// which may be nullptr, and the reservations of its tasks there.
bool is_spread_full(std::uint32_t limit, const stage_row* stage, const worker_row& worker,
                    const task_key& task);

// Returns how well a worker suits a reservation for a task of a queue with this priority; nothing
// if the need doesn't fit there even once short tasks have ended.
std::optional<std::pair<double, millicores>>
rank_for_reservation(const shard_state& shard, const resources& need, std::int32_t priority,
                     const worker_row& worker, time_point now);

// After this wait, short tasks are evicted for a long-running one. Its room must be free, granted,
// lent and used within 9 s after its last run, of which 5 s may pass until the end of a lost
// worker's lease, and a stop takes up to 0.9 s.
constexpr duration eviction_wait{1'500};

// One shard at a time evicts runs for a task; after this time another one may.
constexpr duration eviction_turn{4'000};

// Runs to stop on one worker.
struct eviction_plan {
    std::vector<run_key> runs;
    resources freed;
    double lost = 0; // processor time, in thousandths of a core times milliseconds
};

// Returns the cheapest runs to evict on a worker so that so much becomes free for a task of a queue
// with this priority. Returns nothing if these don't exist.
std::optional<eviction_plan> plan_eviction(const shard_state& shard, const worker_row& worker,
                                           const resources& wanted, std::int32_t priority,
                                           time_point now);

// Returns what the runs of a worker that are being stopped will free.
resources find_room_of_stopping_runs(const worker_row& worker);

// Returns whether runs on the worker are being evicted.
bool is_evicting(const worker_row& worker);

// Returns whether reservations on the worker stay. Short pauses of starts don't end them.
bool keeps_reservations(const shard_state& shard, const worker_row& worker, time_point now);

// Evicts short tasks for long-running ones that have waited for long and for which room is
// reserved.
void evict_for_reservations(shard_state& shard, time_point now);

// Returns whether the worker has a label; each has the empty one.
bool has_required_label(const worker_row& worker, const std::string& label);

// Lends long-running tasks to the shards that hold free room for them.
void lend_to_granted_room(shard_state& shard, job_row& job, stage_row& stage, time_point now);

// Lends tasks of a stage to another shard.
void make_loan(shard_state& shard, job_row& job, stage_row& stage, lending_room& other,
               const std::vector<std::uint32_t>& tasks, time_point now);

// Reserves room for the shard's waiting long-running tasks in the order of their claims, after
// those of other shards that come before.
void reserve_in_order(shard_state& shard, time_point now);

// Removes expired reservations; returns how many are left for this shard's tasks.
std::size_t expire_reservations(shard_state& shard, time_point now);

// Maximum number of tasks in one loan, so that several shards share a wide step.
constexpr std::size_t loan_tasks = 16;

// Which room counts for long-running tasks: what is free, or also what short tasks still occupy.
enum class room_kind : std::uint8_t { free_now, after_short_tasks };

// Returns whether room that short tasks still occupy counts for a step: it is reserved for the
// step's tasks, which start there once the short tasks have ended.
bool uses_long_running_room(const step_spec& step);

// Returns the shard with the most room for a stage and the number of tasks that fit there, or
// nullptr and 0. Long-running tasks are lent so only to shards whose owners don't know room
// requests.
std::pair<lending_room*, std::size_t> find_borrower(shard_state& shard, const job_row& job,
                                                    const stage_row& stage, room_kind kind,
                                                    time_point now);

// Returns whether a worker that doesn't leave could run a task of a step if it ran nothing else.
bool is_eligible(const service_id& service, const step_spec& step, const worker_row& worker);

// Returns whether the workers of this shard that don't leave could run tasks of a step if they ran
// nothing else: one task, or all members of a gang. True while the workers aren't known.
bool could_run_here(const shard_state& shard, const service_id& service, const step_spec& step);

// Returns whether no further task of a stage can start here, whatever ends on the workers: none of
// them could run it, those that could have reached the step's spread limit, or they are too few for
// a gang. Such tasks are lent without delay.
bool is_stranded(const shard_state& shard, const job_row& job, const stage_row& stage);

// Returns whether a worker of another shard could run a task of the step, whatever it runs now, as
// far as is known.
bool could_run_there(const lending_room& other, const service_id& service, const step_spec& step,
                     time_point now);

// Subtracts the tasks that were just lent to a shard from its reported room, until its owner's next
// report.
void deduct_room(lending_room& other, const service_id& service, const step_spec& step,
                 std::size_t tasks);

// Why a task of a stage finds no room in its shard: what the workers that could run it offer.
struct room_search {
    std::size_t workers = 0;        // accept starts and meet the step's conditions
    std::size_t serving = 0;        // of these, those with serving tasks
    std::size_t fitting = 0;        // have the processors and the memory
    std::size_t paced_out = 0;      // of these, those below the pace that a filler needs
    double best_pace = -1;          // among those that fit; -1: none fits
    double min_pace = 0;            // that a filler needs by now
    millicores most_beside_serving; // most processors on a worker with serving tasks
    millicores most_elsewhere;      // and on one without
};

room_search inspect_rooms(const shard_state& shard, const job_row& job, const stage_row& stage,
                          time_point now);

// Logs the needs of the waiting tasks of a stage, and the room in this and the other shards.
void log_no_room(const shard_state& shard, const job_row& job, stage_row& stage, time_point now);

// Returns whether another shard has room for a task of the stage now. Always false for borrowed
// jobs.
bool has_room_elsewhere(const shard_state& shard, const job_row& job, const stage_row& stage,
                        room_kind kind, time_point now);

// Returns the worker list in the pending transaction, or nullptr if there is none.
const worker_list* find_pending_list(const commit_state& commit);

// Returns whether the worker is in the stored worker list at this address, whether or not the
// pending transaction takes effect. A successor then expects runs of this owner on it.
bool is_stored(const shard_state& shard, const worker_target& worker);

// Why an owner promises to grant workers no lease: they are of the inherited list and have been
// silent for a while; or the shard is being handed over, which includes all that don't answer now.
enum class promise_reason : std::uint8_t { silent, handover };

// Returns the promises about the workers of a list. A successor waits for the leases of others
// only.
promise_list make_promises(const shard_state& shard, const worker_list& listed,
                           promise_reason reason, time_point now);

// Returns whether the stored list, or the one in the pending transaction, has a promise of this
// owner not to use the worker.
bool is_promised(const shard_state& shard, const worker_id& id);

// Returns whether the promises that a successor could use are stored.
bool are_promises_stored(const shard_state& shard, time_point now);

// Returns whether a run of this owner may be on the worker, now or soon. An unreachable worker
// whose leases have ended has none. If it stayed in the list, a successor would wait for it without
// need.
bool is_used(const shard_state& shard, const worker_row& worker, time_point now);

// Returns the address at which a worker is listed. As long as former owners may have runs at the
// one that they knew, a successor has to wait for those.
const socket_address& find_listed_address(const shard_state& shard, const worker_row& worker);

// Returns the workers that a successor has to consider: runs of this owner or of a former one may
// be on them.
worker_list find_used_workers(const shard_state& shard, time_point now);

// Returns whether starts on the worker pause because it refused some or its runs failed. After a
// pause it gets one task, and further ones once that has succeeded.
bool is_paused(const worker_row& worker, time_point now);

// Returns whether a task that failed on the worker looks for another one first.
bool is_avoided(const task_row& task, const worker_id& worker, time_point now);

// Returns whether the worker has restarted and an entry of the incarnation that replies is waited
// for.
bool awaits_entry(const worker_row& worker, time_point now);

// Returns whether the worker meets a step's conditions on service and label. Another incarnation
// may be of another kind.
bool can_host(const job_row& job, const step_spec& step, const worker_row& worker);

// Returns whether the worker stays, and this owner may use it.
bool is_usable(const shard_state& shard, const worker_row& worker);

// Returns whether any task may start on the worker now.
bool accepts_starts(const shard_state& shard, const worker_row& worker, time_point now);

// Returns whether the worker meets a step's conditions on service, label and spreading. Doesn't
// check resources.
bool can_run_on(const job_row& job, const stage_row& stage, const worker_row& worker);

// Completes a task of one of this shard's own jobs. Returns whether the job's record should be
// stored without delay.
bool complete_task(shard_state& shard, job_row& job, const task_key& key, time_point now,
                   unix_time unix_now);

// Sets the result of a borrowed task, which is then reported to the lender.
void report_task(shard_state& shard, job_row& job, task_row& task, loan_result result,
                 time_point now);

// Rebuilds the loan table from the loaded jobs.
void rebuild_loan_table(shard_state& shard);

// Lends waiting tasks of a stage to shards with room.
void lend_tasks(shard_state& shard, job_row& job, stage_row& stage, time_point now);

// Sends the loan messages and the answers that are due.
void send_loans(shard_state& shard, time_point now, shard_actions& actions);

// Returns the processors of a worker, in thousandths of a core, that further fillers may use. May
// be negative.
std::int64_t filler_room(const shard_state& shard, const worker_row& worker);

// Builds and sends the next transaction when one is due, and answers submissions and cancellations
// that are settled.
void prepare_commit(shard_state& shard, time_point now, shard_actions& actions);

// Answers all requests that wait for the submission of a job.
void answer_submissions(shard_state& shard, const job_id& id, const submit_answer& answer,
                        time_point now, shard_actions& actions);

// Refuses the submissions that can't be stored in time, or at all, and that are certainly not
// stored.
void refuse_unstorable(shard_state& shard, time_point now, shard_actions& actions);

// Returns the submitted jobs that the next transaction may include, those submitted first in front.
std::vector<job_id> select_submissions(const shard_state& shard, time_point now);

// Drops the jobs of a rejected transaction that exist in other shards; returns their number.
// `present` are the entries that the store returned for its conditions.
std::size_t drop_duplicates(shard_state& shard, const std::vector<store_entry>& present,
                            time_point now);

// Requests reads of the index entries of waiting submissions that may be duplicates. In calm times
// there are none.
void request_index_reads(shard_state& shard, time_point now, shard_actions& actions);

// Whether a job can still end within its objective, ordered from best to worst.
enum class timeliness : std::uint8_t { in_time, late, overdue };

std::string_view to_string(timeliness expected);

// Predicts the timeliness of a job from its elapsed time and the estimates of its remaining work.
// Jobs with long-running steps and jobs with due times always count as in time.
timeliness predict_timeliness(const shard_state& shard, const job_row& job);

// Returns whether a run of a task that a former owner started may be unknown to this one.
bool has_unknown_run(const shard_state& shard, const job_row& job, const task_row& task);

// Takes over the parked tasks of the loaded jobs; returns their number.
std::size_t load_parked_tasks(shard_state& shard);

// Parks tasks that have had no run for a while.
void park_waiting_tasks(shard_state& shard, time_point now);

// A stage with waiting tasks, and its job.
struct waiting_stage {
    job_row* job = nullptr;
    stage_row* stage = nullptr;
};

// Has it stored that the short tasks that come next for room aren't parked, so that their starts
// don't wait for it. The stages are in the order in which they get room.
void release_next(shard_state& shard, const std::vector<waiting_stage>& order, time_point now);

// Has it stored that the first `count` waiting tasks of a stage aren't parked.
void release_first(shard_state& shard, job_row& job, stage_row& stage, std::size_t count,
                   time_point now);

// Returns whether the store answers this owner's transactions in time. While it doesn't, a parked
// task, or one whose run is recorded, could not start.
bool is_storing(const shard_state& shard, time_point now);

// Returns whether no lease that the worker has lasts longer than one that this owner grants now.
// After a restart it may have a longer one.
bool has_usual_lease(const shard_state& shard, const worker_row& worker, time_point now);

// Updates which incarnations of the workers are settled.
void update_settled(shard_state& shard, time_point now);

// Returns the lease that a worker may have which has just replied with this start time, for the
// first time to this owner or after a restart.
duration find_first_lease(const shard_state& shard, const worker_row& worker,
                          const std::optional<process_start_time>& start_time, bool took_no_lease);

// Takes over the recorded runs of the loaded jobs.
void load_recorded_runs(shard_state& shard);

// Records long-running tasks whose starts their workers have confirmed.
void record_long_running_runs(shard_state& shard, time_point now);

// Marks a task as neither parked nor recorded as running. If it was, no former owner left a run of
// it that this one doesn't know.
void clear_whereabouts(task_row& task);

// Has it stored that a task may start on a worker, and leaves out all others. Returns whether that
// is stored, so that the start may be sent. For steps whose starts aren't recorded, the same as
// release_whereabouts.
bool plan_start(shard_state& shard, job_row& job, const step_spec& step, task_row& task,
                const worker_id& worker, time_point now);

// Returns whether no former owner can have started a task of an occurrence that the job's record
// lacks.
bool knows_unstored_occurrences(const shard_state& shard, const job_row& job);

// Returns whether a task only waits until the store has it as neither parked nor recorded.
bool is_release_pending(const job_row& job, const task_row& task);

// Has it stored that a task is neither parked nor recorded as running. Returns whether it is, so
// that it may start.
bool release_whereabouts(shard_state& shard, job_row& job, task_row& task, time_point now);

// Logs the long-running tasks that don't run, with what each of them waits for.
void log_waiting_tasks(shard_state& shard, time_point now);

// Chooses workers for waiting tasks and sends the start commands.
void place_tasks(shard_state& shard, time_point now, shard_actions& actions);

} // namespace fulmar
