#include "fulmar/store_http.hpp"

#include "fulmar/json.hpp"

#include <array>

namespace fulmar {

void to_json(json& out, const store_entry& in) {
    out = json{{"key", in.key}, {"value", in.value}, {"revision", in.revision}};
}

void from_json(const json& in, store_entry& out) {
    in.at("key").get_to(out.key);
    in.at("value").get_to(out.value);
    in.at("revision").get_to(out.revision);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_listing, entries, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_event, entry, deleted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_events, events, revision)

namespace {

// A listing of jobs/ grows by about 5 MB a day at the design scale, because ended jobs are kept.
constexpr std::size_t listing_limit_bytes = 64 * 1024 * 1024;

class http_store_client final : public store_client {
  public:
    http_store_client(http_client& http, const socket_address& address, duration timeout)
        : http_(http)
        , base_url_("http://" + to_string(address) + "/store/")
        , timeout_(timeout) {}

    result<std::optional<store_entry>> get(const std::string& key) override {
        BOOST_OUTCOME_TRY(reply, call("get", {{"key", key}}));
        if (reply.is_null()) {
            return std::optional<store_entry>{};
        }
        BOOST_OUTCOME_TRY(entry, convert<store_entry>(reply));
        return std::optional(std::move(entry));
    }

    result<store_listing> list(const std::string& prefix) override {
        BOOST_OUTCOME_TRY(reply, call("list", {{"prefix", prefix}}));
        return convert<store_listing>(reply);
    }

    result<revision_number> compare_and_swap(const store_write& write) override {
        json arguments{{"key", write.key}, {"value", write.value}, {"expected", write.expected}};
        if (write.lease) {
            arguments["lease"] = *write.lease;
        }
        BOOST_OUTCOME_TRY(reply, call("compare_and_swap", arguments));
        return convert<revision_number>(reply);
    }

    result<revision_number> remove(const std::string& key, revision_number expected) override {
        BOOST_OUTCOME_TRY(reply, call("remove", {{"key", key}, {"expected", expected}}));
        return convert<revision_number>(reply);
    }

    result<lease_id> grant_lease(duration ttl) override {
        BOOST_OUTCOME_TRY(reply, call("grant_lease", {{"ttl_ms", ttl.count()}}));
        return convert<lease_id>(reply);
    }

    result<void> keep_alive(lease_id lease) override {
        BOOST_OUTCOME_TRY(reply, call("keep_alive", {{"lease", lease}}));
        static_cast<void>(reply);
        return outcome::success();
    }

    result<store_events> watch(const std::string& prefix, revision_number after,
                               duration wait) override {
        BOOST_OUTCOME_TRY(
            reply,
            call("watch", {{"prefix", prefix}, {"after", after}, {"wait_ms", wait.count()}}, wait));
        return convert<store_events>(reply);
    }

  private:
    template <class T>
    static result<T> convert(const json& from) {
        try {
            return from.get<T>();
        } catch (const json::exception& failure) {
            return error{error_kind::protocol_error, failure.what()};
        }
    }

    result<json> call(const std::string& name, const json& arguments, duration extra_time = {}) {
        http_call request;
        request.method = "POST";
        request.url = base_url_ + name;
        request.body = arguments.dump();
        request.timeout = timeout_ + extra_time;
        request.connect_timeout = timeout_;
        request.response_limit_bytes = listing_limit_bytes;
        // The outcome of a write is to be known even if the server closes an idle connection.
        request.fresh_connection = name == "compare_and_swap" || name == "remove";
        request.resend_allowed = name == "get" || name == "list" || name == "watch";
        BOOST_OUTCOME_TRY(response, http_.call(std::move(request)));
        if (response.status != 200) {
            return parse_error_response(response);
        }
        return parse_json<json>(response.body);
    }

    http_client& http_;
    std::string base_url_;
    duration timeout_;
};

// Converts a result to the response that the store client expects.
template <class T>
http_response make_reply(const result<T>& from) {
    return from ? json_response(200, json(from.value()).dump()) : error_response(from.error());
}

http_response answer_get(store_client& store, const json& in) {
    const auto found = store.get(in.at("key"));
    if (!found) {
        return error_response(found.error());
    }
    return json_response(200, found.value() ? json(*found.value()).dump() : "null");
}

http_response answer_list(store_client& store, const json& in) {
    return make_reply(store.list(in.at("prefix")));
}

http_response answer_compare_and_swap(store_client& store, const json& in) {
    store_write write{in.at("key"), in.at("value"), in.at("expected").get<revision_number>(), {}};
    if (in.contains("lease")) {
        write.lease = in.at("lease").get<lease_id>();
    }
    return make_reply(store.compare_and_swap(write));
}

http_response answer_remove(store_client& store, const json& in) {
    return make_reply(store.remove(in.at("key"), in.at("expected").get<revision_number>()));
}

http_response answer_grant_lease(store_client& store, const json& in) {
    return make_reply(store.grant_lease(duration(in.at("ttl_ms").get<std::int64_t>())));
}

http_response answer_keep_alive(store_client& store, const json& in) {
    const auto kept = store.keep_alive(in.at("lease").get<lease_id>());
    return kept ? json_response(200, "{}") : error_response(kept.error());
}

http_response answer_watch(store_client& store, const json& in) {
    return make_reply(store.watch(in.at("prefix"), in.at("after").get<revision_number>(),
                                  duration(in.at("wait_ms").get<std::int64_t>())));
}

struct call_row {
    std::string_view name;
    http_response (*answer)(store_client&, const json&);
};

constexpr std::array calls{call_row{"get", answer_get},
                           call_row{"list", answer_list},
                           call_row{"compare_and_swap", answer_compare_and_swap},
                           call_row{"remove", answer_remove},
                           call_row{"grant_lease", answer_grant_lease},
                           call_row{"keep_alive", answer_keep_alive},
                           call_row{"watch", answer_watch}};

} // namespace

std::unique_ptr<store_client>
make_http_store_client(http_client& http, const socket_address& address, duration timeout) {
    return std::make_unique<http_store_client>(http, address, timeout);
}

http_response handle_store_call(store_client& store, const std::string& name,
                                const std::string& body) {
    for (const auto& row : calls) {
        if (row.name != name) {
            continue;
        }
        try {
            return row.answer(store, json::parse(body));
        } catch (const json::exception& failure) {
            return error_response({error_kind::protocol_error, failure.what()});
        }
    }
    return error_response({error_kind::not_found, "no such store call: " + name});
}

} // namespace fulmar
