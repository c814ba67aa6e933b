// What an owner that has lost or handed over a shard tells the next one, beside what is stored.
#pragma once

#include "shard_control.hpp"

namespace fulmar {

// Run ends that were listed to an owner and weren't stored when it lost the shard. It passes them
// on to the next owner.
// Returns whether an end matters to the next owner: it was done, or it used up an attempt.
bool counts_for_successor(const run_end& end);
std::vector<listed_run_end> find_unstored_ends(const shard_state& shard);
std::string encode_passed_ends(const shard_id& shard, const std::vector<listed_run_end>& ends);
// Throws a std::exception if the body is malformed.
std::vector<listed_run_end> parse_passed_ends(const json& body);
// Processes ends that a former owner passed on.
void on_passed_ends(shard_state& shard, const std::vector<listed_run_end>& ends, time_point now,
                    unix_time unix_now);

// Room that is reserved, requested and granted, for the successor of a planned handover: hints, as
// a reservation is no right to run a task.
std::string encode_passed_rooms(const shard_state& shard, epoch_number successor, time_point now);
// Throws a std::exception if the body is malformed.
passed_rooms parse_passed_rooms(const json& body, time_point now);
// Reserves the rooms as far as the workers are known by now.
void apply_passed_rooms(shard_state& shard, time_point now);

} // namespace fulmar
