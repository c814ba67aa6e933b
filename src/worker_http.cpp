#include "fulmar/worker_http.hpp"

#include "fulmar/json.hpp"

namespace fulmar {

namespace {

// Wire value of an error kind that is not set; error kinds are sent as numbers.
constexpr int no_refusal = -1;

} // namespace

// The field names are short because every worker sends and receives them every two seconds.
void to_json(json& out, const worker_command& in) {
    out = json{{"k", in.kind}, {"t", in.task}, {"a", in.attempt}, {"x", in.expires_at}};
    if (in.kind == command_kind::start) {
        out.update(
            json{{"n", in.need}, {"c", in.task_class}, {"r", in.run_ms}, {"cp", in.checkpoint}});
    }
    if (in.kind == command_kind::throttle) {
        out["s"] = in.share;
    }
}

void from_json(const json& in, worker_command& out) {
    in.at("k").get_to(out.kind);
    in.at("t").get_to(out.task);
    in.at("a").get_to(out.attempt);
    in.at("x").get_to(out.expires_at);
    if (out.kind == command_kind::start) {
        in.at("n").get_to(out.need);
        in.at("c").get_to(out.task_class);
        in.at("r").get_to(out.run_ms);
        in.at("cp").get_to(out.checkpoint);
    }
    if (out.kind == command_kind::throttle) {
        in.at("s").get_to(out.share);
    }
}

void to_json(json& out, const task_report& in) {
    out = json{{"t", in.task}, {"a", in.attempt},    {"s", in.state},
               {"n", in.need}, {"c", in.task_class}, {"cp", in.checkpoint}};
}

void from_json(const json& in, task_report& out) {
    in.at("t").get_to(out.task);
    in.at("a").get_to(out.attempt);
    in.at("s").get_to(out.state);
    in.at("n").get_to(out.need);
    in.at("c").get_to(out.task_class);
    in.at("cp").get_to(out.checkpoint);
}

void to_json(json& out, const usage_sample& in) {
    out = json{
        {"t", in.task}, {"c", in.task_class}, {"g", in.age_ms}, {"u", in.used}, {"d", in.slowdown}};
}

void from_json(const json& in, usage_sample& out) {
    in.at("t").get_to(out.task);
    in.at("c").get_to(out.task_class);
    in.at("g").get_to(out.age_ms);
    in.at("u").get_to(out.used);
    in.at("d").get_to(out.slowdown);
}

void to_json(json& out, const command_result& in) {
    out = json{{"t", in.task},
               {"a", in.attempt},
               {"e", in.refused ? static_cast<int>(*in.refused) : no_refusal}};
}

void from_json(const json& in, command_result& out) {
    in.at("t").get_to(out.task);
    in.at("a").get_to(out.attempt);
    const int refused = in.at("e").get<int>();
    if (refused != no_refusal) {
        out.refused = static_cast<error_kind>(refused);
    }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_ack, task, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_request, holder, epoch, lease_ms, full_inventory, commands,
                                   acks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sync_reply, now, incarnation, capacity, tasks, usage, results)

std::string serialize_sync_request(const sync_request& request) {
    return json(request).dump();
}

result<sync_request> parse_sync_request(const std::string& body) {
    return parse_json<sync_request>(body);
}

std::string serialize_sync_reply(const sync_reply& reply) {
    return json(reply).dump();
}

result<sync_reply> parse_sync_reply(const std::string& body) {
    return parse_json<sync_reply>(body);
}

namespace {

class http_worker_client final : public worker_client {
  public:
    http_worker_client(http_client& http, worker_resolver resolve, duration timeout)
        : http_(http)
        , resolve_(std::move(resolve))
        , timeout_(timeout) {}

    void sync(const worker_id& worker, sync_request request, sync_callback done) override {
        const std::string address = resolve_(worker);
        if (address.empty()) {
            done(
                error{error_kind::unavailable, worker.value + ": the worker's address is unknown"});
            return;
        }
        http_call call;
        call.method = "POST";
        call.url = "http://" + address + "/worker/sync";
        call.body = serialize_sync_request(request);
        call.timeout = timeout_;
        call.connect_timeout = timeout_;
        http_.submit(std::move(call), [done = std::move(done)](http_call_result outcome) {
            if (!outcome.response) {
                done(outcome.response.error());
                return;
            }
            const auto& response = outcome.response.value();
            if (response.status != 200) {
                done(parse_error_response(response));
                return;
            }
            done(parse_sync_reply(response.body));
        });
    }

  private:
    http_client& http_;
    worker_resolver resolve_;
    duration timeout_;
};

} // namespace

std::unique_ptr<worker_client> make_http_worker_client(http_client& http, worker_resolver resolve,
                                                       duration timeout) {
    return std::make_unique<http_worker_client>(http, std::move(resolve), timeout);
}

} // namespace fulmar
