// Requests from callers: each is forwarded to the owner of the shard that has, or will have, the
// job.
#include "bounded_json.hpp"
#include "host_control.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Retry-After for requests rejected because the store or the owner is unreachable; takeovers and
// short outages are over by then.
constexpr duration unavailable_retry_after{1'000};

// An owner that hasn't begun to store a job refuses it this long before the deadline, so that the
// refusal reaches the host that asked.
constexpr duration refusal_time{200};

// For submissions from hosts of an earlier version, which don't tell how long they wait.
constexpr duration default_time_left{3'000};

// Of a caller's host or path in a log line, in bytes.
constexpr std::size_t logged_text_limit = 80;

enum class request_kind : std::uint8_t { submit, query, cancel };

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

constexpr std::string_view not_owner = "not_owner";
constexpr std::string_view shard_full = "full";

} // namespace

struct host_control::request {
    request_kind kind = request_kind::submit;
    job_id id;
    queue_spec queue;
    job_spec spec;
    time_point began;
    time_point deadline;
    generation_number generation; // of the configuration that routed the request
    std::size_t attempts = 0;     // to submit
    bool unconfirmed = false;     // an earlier attempt may have stored the job
    bool ignore_full = false;     // every shard has answered that it is full
    std::set<shard_id> full;      // shards that have answered that they are full
    bool from_index = false;      // look the shard up in the store, not in the cache
    std::string last_reason = "no_shard";
    submit_callback on_submit;
    phase_callback on_phase;
};

host_control::request_pointer host_control::begin_request(const job_id& id,
                                                          duration timeout) const {
    auto next = std::make_shared<request>();
    next->id = id;
    next->began = loop_.now();
    next->deadline = next->began + timeout;
    next->generation = config_.generation;
    return next;
}

void host_control::submit(const job_id& id, const queue_spec& queue, job_spec spec,
                          duration timeout, submit_callback done) {
    const auto next = begin_request(id, timeout);
    next->kind = request_kind::submit;
    next->queue = queue;
    next->spec = std::move(spec);
    next->on_submit = std::move(done);
    route_submit(next);
}

void host_control::query(const job_id& id, duration timeout, phase_callback done) {
    const auto next = begin_request(id, timeout);
    next->kind = request_kind::query;
    next->on_phase = std::move(done);
    locate(next);
}

void host_control::cancel(const job_id& id, duration timeout, phase_callback done) {
    const auto next = begin_request(id, timeout);
    next->kind = request_kind::cancel;
    next->on_phase = std::move(done);
    locate(next);
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

// Calls `retry` after a pause, or answers that the request can't be served now if the deadline is
// too close.
void host_control::retry_request(const request_pointer& request, std::function<void()> retry) {
    const auto pause = options_.timing.request_retry;
    if (loop_.now() + pause < request->deadline) {
        loop_.call_after(pause, [alive = alive_, retry = std::move(retry)] {
            if (*alive) {
                retry();
            }
        });
        return;
    }
    counters_.count("requests_unserved", request->last_reason);
    log_.write("event=request_unserved kind={} job={} reason={} waited_ms={} generation={}",
               to_string(request->kind), request->id.value, request->last_reason,
               (loop_.now() - request->began).count(), request->generation.value);
    if (request->kind == request_kind::submit) {
        const auto outcome =
            request->unconfirmed ? submit_outcome::unknown : submit_outcome::unavailable;
        request->on_submit({0, outcome, unavailable_retry_after, request->last_reason});
    } else {
        request->on_phase(error{error_kind::unavailable, request->last_reason});
    }
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

void host_control::route_submit(const request_pointer& request) {
    const auto ranked = rank_shards(request->queue, request->spec);
    if (ranked.empty()) {
        retry_request(request, [this, request] { route_submit(request); });
        return;
    }
    // If every shard has answered that it is full, the first one has to accept the job anyway.
    for (const auto& shard : ranked) {
        if (!request->full.contains(shard)) {
            submit_to(request, shard);
            return;
        }
    }
    request->ignore_full = true;
    submit_to(request, ranked.front());
}

void host_control::submit_to(const request_pointer& request, const shard_id& shard) {
    ++request->attempts;
    const auto finish = [this, request, shard, sent = loop_.now()](const submit_answer& answer) {
        if (answer.outcome == submit_outcome::unavailable && answer.reason == shard_full) {
            request->full.insert(shard);
            route_submit(request);
            return;
        }
        const bool retryable =
            answer.outcome == submit_outcome::unknown ||
            (answer.outcome == submit_outcome::unavailable && answer.reason == not_owner);
        if (retryable) {
            log_.write(
                "event=hand_in_attempt job={} shard={} attempt={} outcome={} reason={} ms={} "
                "left_ms={}",
                request->id.value, shard.value, request->attempts, to_string(answer.outcome),
                answer.reason, (loop_.now() - sent).count(),
                (request->deadline - loop_.now()).count());
            request->unconfirmed =
                request->unconfirmed || answer.outcome == submit_outcome::unknown;
            request->last_reason = answer.reason;
            retry_request(request, [this, request] { route_submit(request); });
            return;
        }
        auto final = answer;
        if (request->unconfirmed && answer.outcome != submit_outcome::accepted) {
            final.outcome = submit_outcome::unknown;
        }
        if (answer.outcome == submit_outcome::accepted && answer.reason.empty()) {
            cache_location(request->id, shard);
        }
        log_.write(
            "event=hand_in job={} queue={} shard={} outcome={} reason={} ms={} generation={}",
            request->id.value, request->queue.id.value, shard.value, to_string(final.outcome),
            final.reason, (loop_.now() - request->began).count(), request->generation.value);
        counters_.observe("hand_in_ms",
                          static_cast<double>((loop_.now() - request->began).count()));
        request->on_submit(final);
    };
    if (const auto own = find_owned(shard)) {
        submit_local(own, request->id, request->queue, request->spec, request->ignore_full,
                     request->deadline - refusal_time, finish);
        return;
    }
    const auto* owner = find_owner(shard);
    if (owner == nullptr || owner->record.address.port == 0) {
        retry_request(request, [this, request] { route_submit(request); });
        return;
    }
    const json body{{"shard", shard},
                    {"job", request->id},
                    {"insist", request->ignore_full},
                    {"left_ms", (request->deadline - loop_.now()).count()},
                    {"queue", encode_queue(request->queue)},
                    {"spec", encode_spec(request->spec)}};
    const auto limit = std::min(options_.timing.peer_timeout, request->deadline - loop_.now());
    peers_link_.call(
        owner->record.address, "submit", body.dump(), limit,
        [alive = alive_, finish](const result<std::string>& reply) {
            if (!*alive) {
                return;
            }
            const auto answer =
                reply ? parse_answer(reply.value()) : result<submit_answer>(reply.error());
            if (answer) {
                finish(answer.value());
            } else if (answer.error().kind == error_kind::unavailable) {
                finish({0, submit_outcome::unavailable, duration(0), std::string(not_owner)});
            } else {
                finish({0, submit_outcome::unknown, duration(0), "owner_silent"});
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
                   if (!*alive) {
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
        if (phase) {
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
                     loop_.now() + left - refusal_time, done);
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

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
