// Drives libcurl's multi interface with an Asio event loop, on its own thread or on the caller's.
#pragma once

#include "http_transfer.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>
#include <thread>
#include <unordered_map>

namespace fulmar {

class client_thread {
  public:
    client_thread();

    // Uses the given event loop, on whose thread all calls are made and ended.
    explicit client_thread(asio::io_context& io);
    ~client_thread();
    client_thread(const client_thread&) = delete;
    client_thread& operator=(const client_thread&) = delete;
    client_thread(client_thread&&) = delete;
    client_thread& operator=(client_thread&&) = delete;

    // Sets the receiver of the figures of labelled calls; must be called before the first transfer.
    void on_use(std::function<void(const http_call_use&)> observer);

    // Starts a transfer; may be called on any thread.
    void submit(const std::shared_ptr<transfer>& next);

    // Continues or aborts a streaming transfer if it is still running; may be called on any thread.
    void resume(std::weak_ptr<transfer> target);
    void cancel(std::weak_ptr<transfer> target);

    // Aborts all transfers, reports their ends and joins the thread.
    void stop();

  private:
    // A socket of libcurl that is registered with Asio. libcurl owns the descriptor.
    struct watched_socket {
        asio::posix::stream_descriptor descriptor;
        int interest = 0;
        bool waiting_for_read = false;
        bool waiting_for_write = false;
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* user, void* known);
    static int on_close(void* user, curl_socket_t socket);
    static int on_timer(CURLM* multi, long wait_ms, void* user);
    void watch(curl_socket_t socket, int what);
    void forget(curl_socket_t socket);
    void wait_for_events(curl_socket_t socket, const std::shared_ptr<watched_socket>& watched);
    void process_event(curl_socket_t socket, int events);
    void start_submitted();
    void start(const std::shared_ptr<transfer>& next);
    void watch_progress(const std::shared_ptr<transfer>& target);
    void complete(CURL* easy, CURLcode code);
    void collect_finished();
    void configure_multi();
    void run();
    void abort_all();

    std::unique_ptr<asio::io_context> own_io_;
    asio::io_context& io_;
    asio::steady_timer timer_{io_};
    CURLM* multi_ = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::unordered_map<CURL*, std::shared_ptr<transfer>> running_;
    std::vector<CURL*> spare_;
    std::function<void(const http_call_use&)> observer_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<transfer>> submitted_; // guarded by mutex_
    bool stopping_ = false;                            // guarded by mutex_
    bool finished_ = false;                            // guarded by mutex_; no more transfers start
    std::thread thread_;
};

} // namespace fulmar
