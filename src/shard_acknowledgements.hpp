// When run ends may be acknowledged to a worker. A hold names the last end that may be forgotten
// there by its number only. If it is carried out late, a later incarnation of the worker forgets
// ends of its own, which no owner may have seen. So a start that such an incarnation may have
// executed before has that hold refused, or isn't open when the hold is sent.
#pragma once

#include "shard_internal.hpp"

namespace fulmar {

// Returns whether a hold may acknowledge run ends: no start is open.
bool may_acknowledge(const worker_row& worker, time_point now);

// Has a hold that acknowledges run ends and has no reply refused by an incarnation that executes
// what is sent from now on. Returns false if the shard is lost.
bool refuse_acknowledgement(shard_state& shard, worker_row& worker);

} // namespace fulmar
