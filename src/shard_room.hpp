// Requests and grants of room between the owners of shards.
#pragma once

#include "shard_tables.hpp"

namespace fulmar {

// The order in which long-running tasks get room. Tasks that have run before come first: they want
// back the room that they had, and what they serve has stopped. Then the longest wait.
struct room_claim {
    bool first_run = false;
    time_point since; // when the task began to wait

    auto operator<=>(const room_claim&) const = default;
};

// A long-running task of another shard that waits for room in this one. Expires unless its owner
// repeats it. Its reservation is a grant: its shard lends it here once it fits.
struct room_request {
    shard_id from;
    service_id service;
    std::string label;
    std::uint32_t spread_limit = 0;
    resources need;
    room_claim claim;
    time_point until;
    bool lending = false;            // a loan to this shard is being made
    std::optional<worker_id> worker; // on which room is reserved for it
    time_point reserved_at;
    time_point no_room_before; // set when a reservation wasn't used in time
    worker_id unused_on;       // where that was; others are preferred
    std::int32_t priority = 0; // of its queue
    bool evict = false;        // its owner asks this shard, and no other one, to evict runs for it
};

// The shard that evicts runs for a waiting task, or is asked to.
struct evicting_shard {
    shard_id shard;
    time_point until;
};

// A message to the owner of another shard with all tasks that wait for room there. Its reply is
// passed to on_room_reply.
struct room_request_message {
    shard_id to;
    std::string body;
};

// Room that another shard holds for a task of this one.
struct granted_room {
    shard_id by;
    time_point until;
};

// What an owner that hands over its shard tells its successor about room, so that nothing waits
// anew: on which workers it had reserved room for tasks that run here, which tasks of other shards
// wait for room here, and which shards had granted room for tasks of this one.
struct passed_rooms {
    struct reservation {
        task_key task;
        worker_id worker;
    };
    std::vector<reservation> reservations;
    std::vector<std::pair<task_key, room_request>> requests;
    std::vector<std::pair<task_key, shard_id>> grants;
    // What hasn't been reserved by then is dropped. Set once the shard is loaded.
    time_point until{};
};

} // namespace fulmar
