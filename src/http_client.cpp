#include "fulmar/http_client.hpp"

#include "http_client_thread.hpp"

#include <curl/curl.h>

#include <atomic>
#include <cassert>
#include <future>

namespace fulmar {

struct http_transfer::state {
    std::weak_ptr<client_thread> thread;
    std::weak_ptr<transfer> target;
};

struct http_client::state {
    std::vector<std::shared_ptr<client_thread>> threads;
    std::atomic<std::size_t> next{0};

    client_thread& pick() { return *threads[next++ % threads.size()]; }
};

http_transfer::http_transfer(std::shared_ptr<state> initial)
    : state_(std::move(initial)) {}

void http_transfer::resume() const {
    if (const auto thread = state_->thread.lock()) {
        thread->resume(state_->target);
    }
}

void http_transfer::cancel() const {
    if (const auto thread = state_->thread.lock()) {
        thread->cancel(state_->target);
    }
}

http_client::http_client()
    : http_client(1) {}

http_client::http_client(std::size_t threads)
    : state_(std::make_unique<state>()) {
    assert(threads > 0);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (std::size_t i = 0; i < threads; ++i) {
        state_->threads.push_back(std::make_shared<client_thread>());
    }
}

http_client::http_client(asio::io_context& io)
    : state_(std::make_unique<state>()) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    state_->threads.push_back(std::make_shared<client_thread>(io));
}

http_client::~http_client() {
    for (const auto& thread : state_->threads) {
        thread->stop();
    }
}

void http_client::on_use(const std::function<void(const http_call_use&)>& observer) {
    for (const auto& thread : state_->threads) {
        thread->on_use(observer);
    }
}

void http_client::submit(http_call call, std::function<void(http_call_result)> done) {
    auto next = std::make_shared<transfer>();
    next->call = std::move(call);
    next->events.on_end = std::move(done);
    state_->pick().submit(next);
}

http_transfer http_client::stream(http_call call, http_stream_events events) {
    auto next = std::make_shared<transfer>();
    next->call = std::move(call);
    next->events = std::move(events);
    next->streaming = true;
    const auto& thread = state_->threads[state_->next++ % state_->threads.size()];
    http_transfer handle(
        std::make_shared<http_transfer::state>(http_transfer::state{thread, next}));
    thread->submit(next);
    return handle;
}

result<http_response> http_client::call(http_call call) {
    std::promise<http_call_result> promise;
    auto future = promise.get_future();
    submit(std::move(call),
           [&promise](http_call_result outcome) { promise.set_value(std::move(outcome)); });
    return future.get().response;
}

} // namespace fulmar
