// An Asio loop that drives libcurl's multi interface, on a thread of its own or on the caller's.
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

    // Uses the caller's loop, whose thread makes and ends all calls.
    explicit client_thread(asio::io_context& io);
    ~client_thread();
    client_thread(const client_thread&) = delete;
    client_thread& operator=(const client_thread&) = delete;
    client_thread(client_thread&&) = delete;
    client_thread& operator=(client_thread&&) = delete;

    // Starts a transfer; safe from any thread.
    void submit(const std::shared_ptr<transfer>& next);

    // Continues or ends a streaming transfer, if it is still running; safe from any thread.
    void resume(std::weak_ptr<transfer> target);
    void cancel(std::weak_ptr<transfer> target);

    // Ends all transfers, reports them and joins the thread.
    void stop();

  private:
    // A socket of libcurl's, in the reactor. libcurl owns the descriptor.
    struct watched_socket {
        asio::posix::stream_descriptor descriptor;
        int interest = 0;
        bool reading = false;
        bool writing = false;
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* user, void* known);
    static int on_close(void* user, curl_socket_t socket);
    static int on_timer(CURLM* multi, long wait_ms, void* user);
    void watch(curl_socket_t socket, int what);
    void arm(curl_socket_t socket, const std::shared_ptr<watched_socket>& watched);
    void act(curl_socket_t socket, int events);
    void start_submitted();
    void start(std::shared_ptr<transfer> next);
    void complete(CURL* easy, CURLcode code);
    void collect_finished();
    void prepare();
    void run();
    void end_all();

    std::unique_ptr<asio::io_context> own_io_;
    asio::io_context& io_;
    asio::steady_timer timer_{io_};
    CURLM* multi_ = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::unordered_map<CURL*, std::shared_ptr<transfer>> running_;
    std::vector<CURL*> spare_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<transfer>> submitted_; // guarded by mutex_
    bool stopping_ = false;                            // guarded by mutex_
    bool finished_ = false;                            // guarded by mutex_; no transfer starts
    std::thread thread_;
};

} // namespace fulmar
