#include "http_client_thread.hpp"

#include <asio/post.hpp>

#include <cassert>

#include <unistd.h>

namespace fulmar {

namespace {

// libcurl handles kept for later calls, because creating one takes longer than a request on
// loopback.
constexpr std::size_t max_spare_handles = 256;

// Idle connections kept per thread. libcurl's default, 4 per transfer in progress, closes almost
// all connections whenever the client is idle.
constexpr long max_idle_connections = 1024;

} // namespace

client_thread::client_thread()
    : own_io_(std::make_unique<asio::io_context>(1))
    , io_(*own_io_)
    , multi_(curl_multi_init()) {
    configure_multi();
    thread_ = std::thread([this] { run(); });
}

client_thread::client_thread(asio::io_context& io)
    : io_(io)
    , multi_(curl_multi_init()) {
    configure_multi();
}

void client_thread::configure_multi() {
    assert(multi_ != nullptr);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

client_thread::~client_thread() {
    stop();
    for (CURL* easy : spare_) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_); // closes the idle connections
    while (!sockets_.empty()) {
        forget(sockets_.begin()->first); // libcurl has closed it
    }
}

void client_thread::on_use(std::function<void(const http_call_use&)> observer) {
    observer_ = std::move(observer);
}

void client_thread::submit(const std::shared_ptr<transfer>& next) {
    next->submitted = std::chrono::steady_clock::now();
    bool first = false;
    bool finished = false;
    {
        const std::lock_guard lock(mutex_);
        finished = finished_;
        first = submitted_.empty();
        if (!finished) {
            submitted_.push_back(next);
        }
    }
    if (finished) {
        // Called by a callback on another thread, which is still aborting its transfers.
        next->events.on_end({error{error_kind::unavailable, "the HTTP client has stopped"}, false});
    } else if (first) {
        asio::post(io_, [this] { start_submitted(); });
    }
}

void client_thread::resume(std::weak_ptr<transfer> target) {
    asio::post(io_, [this, target = std::move(target)] {
        const auto found = target.lock();
        if (found && found->easy != nullptr) {
            found->paused = false;
            record_progress(*found);
            curl_easy_pause(found->easy, CURLPAUSE_CONT);
            process_event(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void client_thread::cancel(std::weak_ptr<transfer> target) {
    asio::post(io_, [this, target = std::move(target)] {
        const auto found = target.lock();
        if (found && found->easy != nullptr) {
            complete(found->easy, CURLE_ABORTED_BY_CALLBACK);
        }
    });
}

void client_thread::stop() {
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(stopping_, true)) {
            return;
        }
    }
    if (own_io_) {
        io_.stop();
        thread_.join();
    } else {
        abort_all();
    }
}

// libcurl callback: the events to wait for on a socket have changed.
int client_thread::on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* user,
                             void* /*known*/) {
    static_cast<client_thread*>(user)->watch(socket, what);
    return 0;
}

// libcurl callback: the time until its next timeout has changed.
int client_thread::on_timer(CURLM* /*multi*/, long wait_ms, void* user) {
    auto& self = *static_cast<client_thread*>(user);
    if (wait_ms < 0) {
        self.timer_.cancel();
        return 0;
    }
    if (wait_ms == 0) {
        // libcurl must not be called from its own callback.
        asio::post(self.io_, [&self] { self.process_event(CURL_SOCKET_TIMEOUT, 0); });
        return 0;
    }
    self.timer_.expires_after(std::chrono::milliseconds(wait_ms));
    self.timer_.async_wait([&self](const asio::error_code& failed) {
        if (!failed) {
            self.process_event(CURL_SOCKET_TIMEOUT, 0);
        }
    });
    return 0;
}

// libcurl callback that replaces close().
int client_thread::on_close(void* user, curl_socket_t socket) {
    static_cast<client_thread*>(user)->forget(socket);
    return ::close(socket);
}

// Ends the registration of a socket, or of a closed one that had its number.
void client_thread::forget(curl_socket_t socket) {
    const auto found = sockets_.find(socket);
    if (found != sockets_.end()) {
        found->second->interest = 0;
        found->second->descriptor.release();
        sockets_.erase(found);
    }
}

void client_thread::watch(curl_socket_t socket, int what) {
    const auto found = sockets_.find(socket);
    if (what == CURL_POLL_REMOVE) {
        // The socket stays in the reactor for the next call on its connection.
        if (found != sockets_.end()) {
            found->second->interest = 0;
        }
        return;
    }
    auto watched = found != sockets_.end() ? found->second
                                           : std::make_shared<watched_socket>(watched_socket{
                                                 asio::posix::stream_descriptor(io_, socket)});
    if (found == sockets_.end()) {
        sockets_.emplace(socket, watched);
    }
    watched->interest = what;
    wait_for_events(socket, watched);
}

// Starts waiting for the requested events of a socket that are not yet waited for.
void client_thread::wait_for_events(curl_socket_t socket,
                                    const std::shared_ptr<watched_socket>& watched) {
    const auto on_event = [this, socket, watched](int poll, int select,
                                                  bool watched_socket::*waiting) {
        return [this, socket, watched, poll, select, waiting](const asio::error_code& failed) {
            (*watched).*waiting = false;
            if (failed || (watched->interest & poll) == 0) {
                return;
            }
            process_event(socket, select);
            if (watched->interest != 0) {
                wait_for_events(socket, watched);
            }
        };
    };
    using descriptor = asio::posix::stream_descriptor;
    if ((watched->interest & CURL_POLL_IN) != 0 && !watched->waiting_for_read) {
        watched->waiting_for_read = true;
        watched->descriptor.async_wait(
            descriptor::wait_read,
            on_event(CURL_POLL_IN, CURL_CSELECT_IN, &watched_socket::waiting_for_read));
    }
    if ((watched->interest & CURL_POLL_OUT) != 0 && !watched->waiting_for_write) {
        watched->waiting_for_write = true;
        watched->descriptor.async_wait(
            descriptor::wait_write,
            on_event(CURL_POLL_OUT, CURL_CSELECT_OUT, &watched_socket::waiting_for_write));
    }
}

// Passes an event to libcurl, then reports the transfers that have finished.
void client_thread::process_event(curl_socket_t socket, int events) {
    int active = 0;
    curl_multi_socket_action(multi_, socket, events, &active);
    collect_finished();
}

void client_thread::start_submitted() {
    std::vector<std::shared_ptr<transfer>> batch;
    {
        const std::lock_guard lock(mutex_);
        batch.swap(submitted_);
    }
    for (const auto& next : batch) {
        start(next);
    }
}

void client_thread::start(const std::shared_ptr<transfer>& next) {
    if (const auto problem = validate_call(next->call)) {
        next->events.on_end({*problem, false});
        return;
    }
    CURL* easy = nullptr;
    if (spare_.empty()) {
        easy = curl_easy_init();
        assert(easy != nullptr);
    } else {
        easy = spare_.back();
        spare_.pop_back();
    }
    // libcurl closes a socket whose connection wasn't established without a call of on_close, and
    // the next one may get its number.
    next->on_open = [this](curl_socket_t socket) { forget(socket); };
    prepare_transfer(*next, easy);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    running_.emplace(easy, next);
    watch_progress(next);
    curl_multi_add_handle(multi_, easy);
}

// Ends the transfer once it has made no progress for its limit. libcurl's own check of the speed
// has a resolution of a second. After a delay of the thread, data that has arrived counts, as the
// event loop handles sockets before the timers that have expired.
void client_thread::watch_progress(const std::shared_ptr<transfer>& target) {
    const auto limit = progress_limit(*target);
    if (!limit) {
        return;
    }
    if (!target->progress_timer) {
        target->progress_timer = std::make_unique<asio::steady_timer>(io_);
    }
    target->progress_timer->expires_at(target->last_progress + *limit);
    // The first progress cancels the timer, as another limit applies from then on.
    target->progress_timer->async_wait(
        [this, weak = std::weak_ptr(target)](const asio::error_code& /*cancelled*/) {
            const auto found = weak.lock();
            if (!found || found->easy == nullptr) {
                return;
            }
            if (found->paused) {
                record_progress(*found);
            }
            const auto current = progress_limit(*found);
            if (current && std::chrono::steady_clock::now() >= found->last_progress + *current) {
                complete(found->easy, CURLE_OPERATION_TIMEDOUT);
                return;
            }
            watch_progress(found);
        });
}

// Removes one transfer and reports its result.
void client_thread::complete(CURL* easy, CURLcode code) {
    auto node = running_.extract(easy);
    assert(!node.empty());
    const auto ended = std::move(node.mapped());
    if (observer_ && !ended->call.label.empty()) {
        observer_(measure_use(*ended, code));
    }
    auto outcome = finish_transfer(*ended, code);
    curl_multi_remove_handle(multi_, easy);
    release_transfer(*ended);
    if (spare_.size() < max_spare_handles) {
        curl_easy_reset(easy);
        spare_.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
    ended->events.on_end(std::move(outcome));
}

// Reports all transfers that libcurl has finished.
void client_thread::collect_finished() {
    int queued = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &queued)) {
        if (message->msg == CURLMSG_DONE) {
            complete(message->easy_handle, message->data.result);
        }
    }
}

// Thread function: runs transfers until stop(), then aborts those in progress.
void client_thread::run() {
    const auto work = asio::make_work_guard(io_);
    io_.run();
    abort_all();
}

// Aborts the transfers in progress and those that their callbacks start.
void client_thread::abort_all() {
    bool more = true;
    while (more) {
        start_submitted();
        while (!running_.empty()) {
            complete(running_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
        }
        const std::lock_guard lock(mutex_);
        more = !submitted_.empty();
        finished_ = !more;
    }
}

} // namespace fulmar
