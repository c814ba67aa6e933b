// Requests from callers: each is forwarded to the owner of the shard that has, or will have, the
// job.
#include "bounded_json.hpp"
#include "host_request.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Of a caller's host or path in a log line, in bytes.
constexpr std::size_t logged_text_limit = 80;

// A host that stops begins no attempt that has less time than this: a call to the owner and a
// transaction in another region.
constexpr duration shortest_attempt{150};

} // namespace

std::string_view to_string(request_kind kind) {
    switch (kind) {
    case request_kind::submit:
        return "hand_in";
    case request_kind::query:
        return "query";
    case request_kind::cancel:
        return "cancel";
    }
    return "";
}

host_control::request_pointer host_control::begin_request(request_kind kind, const job_id& id,
                                                          duration timeout) {
    auto next = std::make_shared<request>();
    next->kind = kind;
    next->id = id;
    next->began = loop_.now();
    next->deadline = next->began + timeout;
    if (answer_by_) {
        next->deadline = std::min(next->deadline, *answer_by_);
    }
    next->generation = config_.generation;
    open_requests_.insert(next);
    // Calls to the store may take longer than the caller waits.
    loop_.call_after(std::max(duration(0), next->deadline - next->began),
                     [this, alive = alive_, weak = std::weak_ptr(next)] {
                         const auto open = weak.lock();
                         if (*alive && open && !open->waits_here) {
                             answer_unserved(open);
                         }
                     });
    return next;
}

// Rejects a request at once if this host stops too soon to serve it. Returns whether it did.
bool host_control::reject_stopping(const request_pointer& request) {
    if (!answer_by_ || request->deadline - loop_.now() >= shortest_attempt) {
        return false;
    }
    request->last_reason = "host_stopping";
    answer_unserved(request);
    return true;
}

void host_control::submit(const job_id& id, const queue_spec& queue, job_spec spec,
                          duration timeout, submit_callback done) {
    const auto next = begin_request(request_kind::submit, id, timeout);
    next->queue = queue;
    next->spec = std::move(spec);
    next->on_submit = std::move(done);
    if (!reject_stopping(next)) {
        route_submit(next);
    }
}

void host_control::query(const job_id& id, duration timeout, phase_callback done) {
    const auto next = begin_request(request_kind::query, id, timeout);
    next->on_phase = std::move(done);
    if (!reject_stopping(next)) {
        locate(next);
    }
}

void host_control::cancel(const job_id& id, duration timeout, phase_callback done) {
    const auto next = begin_request(request_kind::cancel, id, timeout);
    next->on_phase = std::move(done);
    if (!reject_stopping(next)) {
        locate(next);
    }
}

// Bounds all requests, those in progress and later ones, by the time at which this host must have
// answered them.
void host_control::limit_requests(time_point answer_by) {
    answer_by_ = answer_by;
    for (const auto& request : open_requests_) {
        request->deadline = std::min(request->deadline, answer_by);
        if (request->kind == request_kind::submit && request->index_check_planned) {
            plan_index_check(request); // the one that is planned may come too late
        }
    }
    loop_.call_after(std::max(duration(0), answer_by - loop_.now()), [this, alive = alive_] {
        if (!*alive) {
            return;
        }
        for (const auto& request : std::set(open_requests_)) {
            answer_unserved(request);
        }
    });
}

void host_control::record_rejection(int status, std::string_view reason, std::string_view host,
                                    std::string_view path) {
    constexpr int not_found = 404;
    counters_.count("requests_rejected", std::to_string(status));
    const auto age = [&](const std::optional<time_point>& since) {
        return since ? (loop_.now() - *since).count() : -1;
    };
    const auto caller_host = make_printable(host.substr(0, logged_text_limit));
    const auto caller_path = make_printable(path.substr(0, logged_text_limit));
    if (status == not_found) {
        log_.write(R"(event=queue_unknown caller_host="{}" path="{}" generation={} age_ms={} )"
                   "confirmed_ms={}",
                   caller_host, caller_path, config_.generation.value, age(config_applied_),
                   age(config_confirmed_));
        return;
    }
    log_.write(R"(event=request_rejected status={} reason="{}" caller_host="{}" path="{}" )"
               "generation={} age_ms={}",
               status, make_printable(reason), caller_host, caller_path, config_.generation.value,
               age(config_applied_));
}

void host_control::drain(time_point answer_by, std::function<void()> done) {
    log_.write_rare("event=host_leaving shards={} requests={} answer_by_ms={}", owned_.size(),
                    open_requests_.size(), (answer_by - loop_.now()).count());
    leaving_ = true;
    limit_requests(answer_by);
    on_drained_ = std::move(done);
    next_local_gossip_ = loop_.now();
    next_global_gossip_ = loop_.now();
    gossip();
    maintain_claims();
}

// Ends a request. The caller is answered right after.
void host_control::close_request(const request_pointer& request) {
    request->answered = true;
    open_requests_.erase(request);
}

// Answers that a request couldn't be served in its time.
void host_control::answer_unserved(const request_pointer& request) {
    if (request->answered) {
        return;
    }
    close_request(request);
    const bool submission = request->kind == request_kind::submit;
    // Only an answer of the owner, or the store's refusal, tells that nothing was stored.
    const bool unknown = submission && (request->unconfirmed || request->open_attempts > 0);
    counters_.count("requests_unserved", request->last_reason);
    log_.write(
        "event=request_unserved kind={} job={} reason={} waited_ms={} attempts={} unknown={} "
        "generation={}",
        to_string(request->kind), request->id.value, request->last_reason,
        (loop_.now() - request->began).count(), request->attempts, unknown,
        request->generation.value);
    if (submission) {
        const auto outcome = unknown ? submit_outcome::unknown : submit_outcome::unavailable;
        request->on_submit({0, outcome, unavailable_retry_after, request->last_reason});
    } else {
        request->on_phase(error{error_kind::unavailable, request->last_reason});
    }
}

// Calls `retry` after a pause, or answers that the request can't be served now if the deadline is
// too close.
void host_control::retry_request(const request_pointer& request, std::function<void()> retry) {
    const auto pause = options_.timing.request_retry;
    if (loop_.now() + pause >= request->deadline) {
        answer_unserved(request);
        return;
    }
    if (std::exchange(request->retry_pending, true)) {
        return;
    }
    loop_.call_after(pause, [alive = alive_, request, retry = std::move(retry)] {
        if (*alive && !request->answered) {
            request->retry_pending = false;
            retry();
        }
    });
}

const host_control::peer_row* host_control::find_owner(const shard_id& id) const {
    const auto claim = claims_.find(id);
    if (claim == claims_.end()) {
        return nullptr;
    }
    const auto& owner = claim->second.record.owner.value;
    const auto peer = peers_.find(host_id{owner.substr(0, owner.find('/'))});
    return peer == peers_.end() ? nullptr : &peer->second;
}

// Determines which shard has a job: from the owned shards, the cache, or the index in the store.
void host_control::locate(const request_pointer& request) {
    for (const auto& [id, shard] : owned_) {
        if (shard->loaded && visible_phase(shard->state, request->id)) {
            query_owner(request, id);
            return;
        }
    }
    const auto known = location_cache_.find(request->id);
    if (known != location_cache_.end() && !request->from_index) {
        query_owner(request, known->second);
        return;
    }
    store_.get(job_index_key(request->id),
               [this, alive = alive_, request](result<std::optional<store_entry>> entry) {
                   if (!*alive || request->answered) {
                       return;
                   }
                   if (!entry) {
                       request->last_reason = "store";
                       retry_request(request, [this, request] { locate(request); });
                       return;
                   }
                   if (!entry.value()) {
                       log_.write("event=job_unknown kind={} job={}", to_string(request->kind),
                                  request->id.value);
                       close_request(request);
                       request->on_phase(error{error_kind::not_found, "no such job"});
                       return;
                   }
                   const shard_id shard{entry.value()->value};
                   cache_location(request->id, shard);
                   request->from_index = true;
                   query_owner(request, shard);
               });
}

void host_control::query_owner(const request_pointer& request, const shard_id& shard) {
    const auto finish = [this, request](result<job_phase> phase) {
        request->waits_here = false;
        if (request->answered) {
            return;
        }
        if (phase) {
            close_request(request);
            counters_.observe("ask_ms",
                              static_cast<double>((loop_.now() - request->began).count()));
            request->on_phase(phase);
            return;
        }
        request->last_reason = phase.error().detail;
        // A job that the owner of the cached shard doesn't have may have been moved or deleted: the
        // index is authoritative, so the cache isn't used for this request again.
        request->from_index = true;
        retry_request(request, [this, request] { locate(request); });
    };
    const bool cancel = request->kind == request_kind::cancel;
    if (const auto own = find_owned(shard)) {
        request->waits_here = true;
        query_local(own, request->id, cancel, finish);
        return;
    }
    const auto* owner = find_owner(shard);
    if (owner == nullptr || owner->record.address.port == 0) {
        finish(error{error_kind::unavailable, "owner_unknown"});
        return;
    }
    const json body{{"shard", shard}, {"job", request->id}};
    const auto limit = std::min(options_.timing.peer_timeout, request->deadline - loop_.now());
    peers_link_.call(
        owner->record.address, cancel ? "cancel" : "phase", body.dump(), limit,
        [alive = alive_, finish](const result<std::string>& reply) {
            if (!*alive) {
                return;
            }
            if (!reply) {
                finish(error{error_kind::unavailable, "owner_silent"});
                return;
            }
            try {
                const auto in = json::parse(reply.value());
                if (in.contains("phase")) {
                    finish(static_cast<job_phase>(in.at("phase").get<int>()));
                } else {
                    finish(error{error_kind::unavailable, in.at("error").get<std::string>()});
                }
            } catch (const std::exception&) {
                finish(error{error_kind::unavailable, "reply_unreadable"});
            }
        });
}

void host_control::query_local(const shard_pointer& shard, const job_id& id, bool cancel,
                               phase_callback done) {
    if (!shard->loaded) {
        shard->waiting.emplace_back([this, name = shard->state.id, id, cancel, done] {
            const auto current = find_owned(name);
            if (current && current->loaded) {
                query_local(current, id, cancel, done);
            } else {
                done(error{error_kind::unavailable, "owner_changed"});
            }
        });
        return;
    }
    const auto phase = visible_phase(shard->state, id);
    if (!phase) {
        done(error{error_kind::not_found, "job_unknown_here"});
        return;
    }
    // A repeated cancellation waits for the same conditions as the first one.
    if (!cancel || (has_ended(*phase) && *phase != job_phase::cancelled)) {
        done(*phase);
        return;
    }
    const auto token = next_token_++;
    cancel_waiting_[token] = std::move(done);
    cancel_job(shard->state, id, token, loop_.now(), loop_.unix_now());
    schedule_shard(shard);
}

// Calls from peers.

void host_control::answer_phase_call(const std::string& body, const peer_reply& reply,
                                     bool cancel) {
    try {
        const auto in = json::parse(body);
        const auto shard = find_owned(in.at("shard").get<shard_id>());
        if (!shard) {
            reply(json{{"error", not_owner}}.dump());
            return;
        }
        query_local(shard, in.at("job").get<job_id>(), cancel, [reply](result<job_phase> phase) {
            if (phase) {
                reply(json{{"phase", static_cast<int>(phase.value())}}.dump());
            } else {
                reply(json{{"error", phase.error().detail}}.dump());
            }
        });
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

void host_control::on_peer_call(const std::string& method, const std::string& body,
                                const peer_reply& reply) {
    if (method == "submit") {
        answer_submit_call(body, reply);
    } else if (method == "phase" || method == "cancel") {
        answer_phase_call(body, reply, method == "cancel");
    } else if (method == "loan") {
        answer_loan_call(body, reply);
    } else if (method == "room") {
        answer_room_call(body, reply);
    } else if (method == "ends") {
        answer_ends_call(body, reply);
    } else if (method == "rooms") {
        answer_rooms_call(body, reply);
    } else if (method == "witness") {
        answer_witness_call(body, reply);
    } else if (method == "yield") {
        answer_yield_call(body, reply);
    } else if (method == "claims") {
        next_claim_check_ = loop_.now();
        read_claim(body);
        reply(std::string());
    } else if (method == "backlogs") {
        reply(encode_backlogs());
    } else if (method == "status") {
        reply(answer_status_call());
    } else if (method == "config") {
        answer_config_call(body, reply);
    } else if (method == "orders") {
        json entries = json::array();
        for (const auto& [key, entry] : orders_.entries()) {
            entries.push_back({key, entry.value, entry.revision});
        }
        reply(json{{"revision", orders_.revision()}, {"entries", std::move(entries)}}.dump());
    } else {
        reply(error{error_kind::invalid_argument, "unknown method " + method});
    }
}

} // namespace fulmar
