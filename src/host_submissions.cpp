// Submissions: which shard's owner is asked to store a job, until when, and what the caller may be
// told about it.
#include "bounded_json.hpp"
#include "host_request.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Before the deadline of a submission with an unknown outcome, the store is asked whether it has
// the job: a read in another region, beside other traffic.
constexpr duration index_check_time{200};

// A shard whose owner was changing is asked again after this if there is another one.
constexpr duration owner_change_time{500};

// An owner that hasn't begun to store a job refuses it this long before the deadline, so that the
// refusal reaches the host that asked: twice the delay of an event loop that is overloaded. Of a
// shorter time, half.
constexpr duration refusal_time{500};

// For submissions from hosts of an earlier version, which don't tell how long they wait.
constexpr duration default_time_left{3'000};

// Returns by when a transaction has to include a submission whose answer is due after `left`.
time_point find_store_limit(time_point now, duration left) {
    return now + left - std::min(refusal_time, left / 2);
}

std::string encode_answer(const submit_answer& answer) {
    return json{{"outcome", static_cast<int>(answer.outcome)},
                {"retry_after", answer.retry_after.count()},
                {"reason", answer.reason}}
        .dump();
}

result<submit_answer> parse_answer(const std::string& text) {
    try {
        const auto in = json::parse(text);
        return submit_answer{0, static_cast<submit_outcome>(in.at("outcome").get<int>()),
                             duration(in.at("retry_after").get<std::int64_t>()),
                             in.at("reason").get<std::string>()};
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, failure.what()};
    }
}

} // namespace

// Chooses the shard of the next attempt. While a shard that may have stored the job has an owner,
// it is asked again: its owner answers for all attempts with one transaction, while another shard
// would need one of its own to find that the job exists.
void host_control::route_submit(const request_pointer& request) {
    const auto& asked = request->unconfirmed_at;
    if (asked && has_live_owner(*asked)) {
        submit_to(request, *asked);
        return;
    }
    const auto ranked = rank_shards(request->queue, request->spec);
    if (ranked.empty()) {
        retry_request(request, [this, request] { route_submit(request); });
        return;
    }
    // If every shard has answered that it is full, the first one has to accept the job anyway.
    const auto is_open = [&](const shard_id& shard) { return !request->full.contains(shard); };
    const auto is_owned = [&](const shard_id& shard) {
        const auto refused = request->not_owned.find(shard);
        return refused == request->not_owned.end() ||
               loop_.now() >= refused->second + owner_change_time;
    };
    auto open = std::find_if(ranked.begin(), ranked.end(), [&](const shard_id& shard) {
        return is_open(shard) && is_owned(shard);
    });
    if (open == ranked.end()) {
        open = std::find_if(ranked.begin(), ranked.end(), is_open);
    }
    request->ignore_full = open == ranked.end();
    const auto shard = request->ignore_full ? ranked.front() : *open;
    if (!asked) {
        submit_to(request, shard);
        return;
    }
    request->retry_pending = true;
    check_index(request, [this, request, shard] {
        request->retry_pending = false;
        request->unconfirmed_at.reset();
        if (loop_.now() < request->deadline) {
            submit_to(request, shard);
        }
    });
}

// Returns whether this host owns a shard, or hears the process that does. An owner that is late but
// runs sends datagrams.
bool host_control::has_live_owner(const shard_id& shard) const {
    if (find_owned(shard)) {
        return true;
    }
    const auto* owner = find_owner(shard);
    return owner != nullptr && is_alive(*owner) &&
           loop_.now() - *owner->last_received <= options_.timing.global_gossip_interval * 2 &&
           claims_.at(shard).record.owner.value ==
               owner->record.name.value + "/" + owner->record.incarnation;
}

void host_control::submit_to(const request_pointer& request, const shard_id& shard) {
    const auto attempt = ++request->attempts;
    const auto left = request->deadline - loop_.now();
    const auto done = [this, request, shard, attempt,
                       sent = loop_.now()](const submit_answer& answer) {
        --request->open_attempts;
        request->waits_here = false;
        on_submit_answer(request, shard, attempt, sent, answer);
    };
    if (const auto own = find_owned(shard)) {
        ++request->open_attempts;
        request->waits_here = true;
        submit_local(own, request->id, request->queue, request->spec, request->ignore_full,
                     find_store_limit(loop_.now(), left), done);
        return;
    }
    const auto* owner = find_owner(shard);
    if (owner == nullptr || owner->record.address.port == 0) {
        retry_request(request, [this, request] { route_submit(request); });
        return;
    }
    ++request->open_attempts;
    const json body{{"shard", shard},
                    {"job", request->id},
                    {"insist", request->ignore_full},
                    {"left_ms", left.count()},
                    {"queue", encode_queue(request->queue)},
                    {"spec", encode_spec(request->spec)}};
    plan_resend(request, shard);
    peers_link_.call(
        owner->record.address, "submit", body.dump(), left,
        [alive = alive_, done](const result<std::string>& reply) {
            if (!*alive) {
                return;
            }
            const auto answer =
                reply ? parse_answer(reply.value()) : result<submit_answer>(reply.error());
            if (answer) {
                done(answer.value());
            } else if (answer.error().kind == error_kind::unavailable) {
                done({0, submit_outcome::unavailable, duration(0), std::string(not_owner)});
            } else {
                done({0, submit_outcome::unknown, duration(0), "owner_silent"});
            }
        });
}

// Sends a submission again if its owner hasn't answered for a while, as a connection may have gone
// silent. The earlier attempt goes on, so that its answer isn't lost.
void host_control::plan_resend(const request_pointer& request, const shard_id& shard) {
    const auto attempt = request->attempts;
    loop_.call_after(options_.timing.peer_timeout, [this, alive = alive_, request, shard, attempt] {
        if (!*alive || request->answered || request->retry_pending ||
            request->attempts != attempt || request->open_attempts == 0 ||
            request->deadline - loop_.now() < options_.timing.request_retry) {
            return;
        }
        request->last_reason = "owner_silent";
        mark_unconfirmed(request, shard);
        log_.write("event=hand_in_resent job={} shard={} attempt={} ms={} left_ms={}",
                   request->id.value, shard.value, attempt, (loop_.now() - request->began).count(),
                   (request->deadline - loop_.now()).count());
        route_submit(request);
    });
}

void host_control::on_submit_answer(const request_pointer& request, const shard_id& shard,
                                    std::size_t attempt, time_point sent,
                                    const submit_answer& answer) {
    using enum submit_outcome;
    if (request->answered) {
        return;
    }
    if (answer.outcome == accepted) {
        answer_submission(request, shard, answer);
        return;
    }
    log_.write("event=hand_in_attempt job={} shard={} attempt={} outcome={} reason={} ms={} "
               "left_ms={}",
               request->id.value, shard.value, attempt, to_string(answer.outcome), answer.reason,
               (loop_.now() - sent).count(), (request->deadline - loop_.now()).count());
    request->last_reason = answer.reason;
    if (answer.outcome == unknown) {
        request->unconfirmed = true;
        mark_unconfirmed(request, shard);
    } else if (answer.reason == shard_full) {
        request->full.insert(shard);
    } else if (answer.reason == not_owner) {
        request->not_owned[shard] = loop_.now();
    }
    if (request->retry_pending || (attempt != request->attempts && request->open_attempts > 0)) {
        return; // another attempt follows or is open
    }
    if (answer.reason == shard_full) {
        request->unconfirmed_at.reset();
        route_submit(request);
    } else if (answer.outcome == unknown || answer.reason == not_owner) {
        retry_request(request, [this, request] { route_submit(request); });
    } else if (request->open_attempts == 0) {
        answer_submission(request, shard, answer);
    }
}

void host_control::answer_submission(const request_pointer& request, const shard_id& shard,
                                     submit_answer answer) {
    close_request(request);
    if (request->unconfirmed && answer.outcome != submit_outcome::accepted) {
        answer.outcome = submit_outcome::unknown;
    }
    if (answer.outcome == submit_outcome::accepted && answer.reason.empty()) {
        cache_location(request->id, shard);
    }
    const auto passed = (loop_.now() - request->began).count();
    log_.write("event=hand_in job={} queue={} shard={} outcome={} reason={} ms={} attempts={} "
               "generation={}",
               request->id.value, request->queue.id.value, shard.value, to_string(answer.outcome),
               answer.reason, passed, request->attempts, request->generation.value);
    counters_.observe("hand_in_ms", static_cast<double>(passed));
    request->on_submit(answer);
}

// Notes that a shard may have stored the job, and plans to ask the store before the caller has to
// be told that the outcome is unknown.
void host_control::mark_unconfirmed(const request_pointer& request, const shard_id& shard) {
    request->unconfirmed_at = shard;
    if (!std::exchange(request->index_check_planned, true)) {
        plan_index_check(request);
    }
}

void host_control::plan_index_check(const request_pointer& request) {
    const auto at = request->deadline - index_check_time;
    loop_.call_after(std::max(duration(0), at - loop_.now()), [this, alive = alive_, request] {
        if (*alive) {
            check_index(request, {});
        }
    });
}

// Answers a submission whose job the store has. Calls `if_absent` otherwise, also if the store
// doesn't answer: an attempt that is still open may store the job later.
void host_control::check_index(const request_pointer& request, std::function<void()> if_absent) {
    if (request->answered) {
        return;
    }
    store_.get(job_index_key(request->id), [this, alive = alive_, request,
                                            if_absent = std::move(if_absent)](
                                               const result<std::optional<store_entry>>& entry) {
        if (!*alive || request->answered) {
            return;
        }
        if (entry && entry.value()) {
            const shard_id shard{entry.value()->value};
            cache_location(request->id, shard);
            answer_submission(request, shard,
                              {0, submit_outcome::accepted, duration(0), "found_in_store"});
        } else if (if_absent) {
            if_absent();
        }
    });
}

void host_control::submit_local(const shard_pointer& shard, const job_id& id,
                                const queue_spec& queue, const job_spec& spec, bool ignore_full,
                                time_point store_by, submit_callback done) {
    if (!shard->loaded) {
        shard->waiting.emplace_back(
            [this, name = shard->state.id, id, queue, spec, ignore_full, store_by, done] {
                const auto current = find_owned(name);
                if (current && current->loaded) {
                    submit_local(current, id, queue, spec, ignore_full, store_by, done);
                } else {
                    done({0, submit_outcome::unavailable, duration(0), std::string(not_owner)});
                }
            });
        return;
    }
    if (shard->state.releasing) {
        done({0, submit_outcome::unavailable, duration(0), std::string(not_owner)});
        return;
    }
    if (!ignore_full && !shard->state.tables.jobs.contains(id) &&
        exceeds_long_running_limit(shard->state, queue, spec)) {
        done({0, submit_outcome::unavailable, duration(0), std::string(shard_full)});
        return;
    }
    const auto token = next_token_++;
    submit_waiting_[token] = std::move(done);
    submit_job(shard->state, id, queue, spec, {token, store_by}, loop_.now(), loop_.unix_now());
    schedule_shard(shard);
}

void host_control::answer_submit_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto shard = find_owned(in.at("shard").get<shard_id>());
        const auto done = [reply](const submit_answer& answer) { reply(encode_answer(answer)); };
        if (!shard) {
            done({0, submit_outcome::unavailable, duration(0), std::string(not_owner)});
            return;
        }
        const duration left{in.value("left_ms", default_time_left.count())};
        submit_local(shard, in.at("job").get<job_id>(), decode_queue(in.at("queue")),
                     decode_spec(in.at("spec")), in.at("insist").get<bool>(),
                     find_store_limit(loop_.now(), left), done);
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

} // namespace fulmar
