#include "fulmar/http_client.hpp"

#include <curl/curl.h>

#include <atomic>
#include <cassert>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace fulmar {

namespace {

// Longest wait in curl_multi_poll; curl_multi_wakeup ends it early.
constexpr int poll_limit_ms = 1000;

struct transfer {
    http_call call;
    std::function<void(http_call_result)> done;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    http_response response;
    bool too_large = false;
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto& to = *static_cast<transfer*>(user);
    if (to.response.body.size() + size * count > to.call.response_limit_bytes) {
        to.too_large = true;
        return 0;
    }
    to.response.body.append(data, size * count);
    return size * count;
}

std::size_t append_header(char* data, std::size_t size, std::size_t count, void* user) {
    auto& to = *static_cast<transfer*>(user);
    std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) {
        to.response.headers.clear();
        return size * count;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ') {
            value.remove_prefix(1);
        }
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
            value.remove_suffix(1);
        }
        to.response.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
}

// Sets up the libcurl handle of a transfer.
void prepare(transfer& to) {
    to.easy = curl_easy_init();
    assert(to.easy != nullptr);
    CURL* easy = to.easy;
    curl_easy_setopt(easy, CURLOPT_URL, to.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, to.call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(to.call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(to.call.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, to.call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &to);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &to);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &to);
    for (const auto& header : to.call.headers) {
        to.headers = curl_slist_append(to.headers, (header.name + ": " + header.value).c_str());
    }
    to.headers = curl_slist_append(to.headers, "Expect:");
    if (!to.call.body.empty() || to.call.method == "POST" || to.call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, to.call.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(to.call.body.size()));
    }
    if (to.call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, to.headers);
}

// Turns libcurl's result into a value.
http_call_result finish(transfer& from, CURLcode code) {
    long sent_bytes = 0;
    curl_easy_getinfo(from.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    http_call_result outcome{error{error_kind::unavailable, ""}, sent_bytes > 0};
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(from.easy, CURLINFO_RESPONSE_CODE, &status);
        from.response.status = static_cast<int>(status);
        outcome.response = std::move(from.response);
        return outcome;
    }
    error failure{error_kind::unavailable, from.call.url + ": " + curl_easy_strerror(code)};
    if (from.too_large) {
        failure.kind = error_kind::protocol_error;
        failure.detail = from.call.url + ": response is larger than the limit";
    } else if (outcome.request_sent) {
        failure.kind =
            code == CURLE_OPERATION_TIMEDOUT ? error_kind::timeout : error_kind::outcome_unknown;
    }
    outcome.response = std::move(failure);
    return outcome;
}

} // namespace

struct http_client::state {
    CURLM* multi = nullptr;
    std::mutex mutex;
    std::vector<std::unique_ptr<transfer>> submitted;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> running;
    std::atomic<bool> stopping{false};
    std::thread thread;

    // Hands submitted transfers to libcurl.
    void start_submitted() {
        std::vector<std::unique_ptr<transfer>> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(submitted);
        }
        for (auto& next : batch) {
            prepare(*next);
            curl_multi_add_handle(multi, next->easy);
            CURL* easy = next->easy;
            running.emplace(easy, std::move(next));
        }
    }

    // Releases one transfer and reports its result.
    void complete(CURL* easy, CURLcode code) {
        auto node = running.extract(easy);
        assert(!node.empty());
        const auto ended = std::move(node.mapped());
        auto outcome = finish(*ended, code);
        curl_multi_remove_handle(multi, easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(ended->headers);
        ended->done(std::move(outcome));
    }

    // Reports every transfer that libcurl has finished.
    void collect_finished() {
        int queued = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi, &queued)) {
            if (message->msg == CURLMSG_DONE) {
                complete(message->easy_handle, message->data.result);
            }
        }
    }

    // Runs transfers until the client is destroyed.
    void run() {
        while (!stopping) {
            start_submitted();
            int active = 0;
            curl_multi_perform(multi, &active);
            collect_finished();
            curl_multi_poll(multi, nullptr, 0, poll_limit_ms, nullptr);
        }
        start_submitted();
        while (!running.empty()) {
            complete(running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
        }
    }
};

http_client::http_client()
    : state_(std::make_unique<state>()) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    state_->multi = curl_multi_init();
    assert(state_->multi != nullptr);
    state_->thread = std::thread([this] { state_->run(); });
}

http_client::~http_client() {
    state_->stopping = true;
    curl_multi_wakeup(state_->multi);
    state_->thread.join();
    curl_multi_cleanup(state_->multi);
}

void http_client::submit(http_call call, std::function<void(http_call_result)> done) {
    auto next = std::make_unique<transfer>();
    next->call = std::move(call);
    next->done = std::move(done);
    {
        const std::lock_guard lock(state_->mutex);
        state_->submitted.push_back(std::move(next));
    }
    curl_multi_wakeup(state_->multi);
}

result<http_response> http_client::call(http_call call) {
    std::promise<http_call_result> promise;
    auto future = promise.get_future();
    submit(std::move(call),
           [&promise](http_call_result outcome) { promise.set_value(std::move(outcome)); });
    return future.get().response;
}

} // namespace fulmar
