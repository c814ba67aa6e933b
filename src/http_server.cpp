#include "fulmar/http_server.hpp"

#include <restinio/all.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <mutex>
#include <shared_mutex>
#include <unordered_set>

namespace fulmar {

namespace {

// Tag type that selects the response builder below.
struct stream_output {};

} // namespace

} // namespace fulmar

// RESTinio's own builders can neither end a chunked body without its last chunk nor close a
// connection, so a truncated response would look complete. This builder passes write groups and
// their flags to RESTinio unchanged.
template <>
class restinio::response_builder_t<fulmar::stream_output> final
    : public restinio::base_response_builder_t<
          restinio::response_builder_t<fulmar::stream_output>> {
  public:
    using base = base_response_builder_t<response_builder_t<fulmar::stream_output>>;
    using base::base;

    // Sends a write group. The final one ends the response and closes the connection unless it is
    // kept alive.
    void send(writable_items_container_t parts, std::size_t status_line_bytes, bool final,
              write_status_cb_t written) {
        write_group_t group{std::move(parts)};
        group.status_line_size(status_line_bytes);
        if (written) {
            group.after_write_notificator(std::move(written));
        }
        m_connection->write_response_parts(
            m_request_id,
            {final ? response_parts_attr_t::final_parts : response_parts_attr_t::not_final_parts,
             response_connection_attr(m_header.should_keep_alive())},
            std::move(group));
    }

    std::size_t status_line_bytes() const { return calculate_status_line_size(); }
};

namespace fulmar {

namespace {

using response_builder = restinio::response_builder_t<stream_output>;
using parts = restinio::writable_items_container_t;

// Connection and framing headers; the server sets them itself.
constexpr std::array<std::string_view, 6> connection_headers{
    "connection", "content-length", "keep-alive", "transfer-encoding", "upgrade", "trailer"};

bool is_token(std::string_view text) {
    constexpr std::string_view signs = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || signs.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

// Returns whether a handler's header may be sent: it contains no line breaks, and the server does
// not set it itself.
bool is_allowed_header(const http_header& header) {
    const bool reserved =
        std::any_of(connection_headers.begin(), connection_headers.end(),
                    [&](std::string_view name) { return find_header({header}, name).has_value(); });
    return !reserved && is_token(header.name) &&
           header.value.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

// Returns whether responses with this status have neither a body nor a length.
bool has_no_body(int status) {
    return status == 204 || status == 304;
}

// The streams in progress. A stream may outlive the server, but RESTinio's connections must not, so
// stopping the server destroys the response builders of all streams.
struct stream_registry {
    std::shared_mutex lifetime; // locked shared to use the server, exclusively to stop it
    bool stopped = false;
    std::mutex mutex;
    std::unordered_set<response_stream::state*> streams;
    asio::io_context* io = nullptr;
    std::atomic<std::size_t> in_progress{0};
};

// Counts a request as in progress until its response was passed to the operating system or its
// connection was closed.
using progress_token = std::shared_ptr<void>;

progress_token count_request(const std::shared_ptr<stream_registry>& registry) {
    ++registry->in_progress;
    return {nullptr, [registry](void*) { --registry->in_progress; }};
}

} // namespace

struct response_stream::state {
    enum class phase : std::uint8_t { not_started, started, ended };

    std::shared_ptr<stream_registry> registry;
    std::mutex mutex; // locked after registry->lifetime; guards the members below
    std::optional<response_builder> builder;
    progress_token progress;
    phase current_phase = phase::not_started;
    bool omit_body = false;
    bool chunked = false;
    std::uint64_t remaining = 0; // bytes of the announced length that are not yet written
    // Shared with the notification of the write in progress, so that the notification does not keep
    // the stream alive.
    struct pending_write {
        std::mutex mutex;
        written_callback written;

        written_callback take() {
            const std::lock_guard lock(mutex);
            return std::exchange(written, nullptr);
        }
    };
    std::shared_ptr<pending_write> pending = std::make_shared<pending_write>();
};

namespace {

using stream_state = response_stream::state;

// Posts the callback to a server thread, so that it never runs while the calling thread holds a
// lock.
void post_written(stream_state& self, bool success) {
    asio::post(*self.registry->io, [pending = self.pending, success] {
        if (const auto written = pending->take()) {
            written(success);
        }
    });
}

// How the receiver finds the end of the body.
enum class framing : std::uint8_t { no_body, length, chunks };

// Returns the status line and the headers as text; an invalid status becomes 500.
std::string make_head(response_builder& builder, int status, std::vector<http_header>& headers,
                      framing frame, std::uint64_t length) {
    auto& head = builder.header();
    const int valid = status >= 200 && status <= 599 ? status : 500;
    head.status_line(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(valid)}, ""});
    if (find_header(headers, "Connection") == "close") {
        builder.connection_close();
    }
    for (auto& header : headers) {
        if (is_allowed_header(header)) {
            head.add_field(std::move(header.name), std::move(header.value));
        }
    }
    if (frame == framing::chunks) {
        head.add_field("Transfer-Encoding", "chunked");
    }
    head.content_length(length);
    return restinio::impl::create_header_string(
        head, frame == framing::length
                  ? restinio::impl::content_length_field_presence_t::add_content_length
                  : restinio::impl::content_length_field_presence_t::skip_content_length);
}

// Ends the response with a final write group.
void send_final_group(stream_state& self, parts last, std::size_t status_line_bytes) {
    self.current_phase = stream_state::phase::ended;
    self.builder->send(std::move(last), status_line_bytes, true,
                       [progress = std::move(self.progress)](const asio::error_code&) {});
    self.builder.reset();
}

void send_response(stream_state& self, http_response response) {
    if (self.current_phase != stream_state::phase::not_started || !self.builder) {
        return;
    }
    const bool bodyless = has_no_body(response.status);
    parts all;
    all.emplace_back(make_head(*self.builder, response.status, response.headers,
                               bodyless ? framing::no_body : framing::length,
                               response.body.size()));
    if (!bodyless && !self.omit_body && !response.body.empty()) {
        all.emplace_back(std::move(response.body));
    }
    send_final_group(self, std::move(all), self.builder->status_line_bytes());
}

// Closes the connection after the data written so far: RESTinio closes it after the final group of
// a response that does not keep it alive, and that group may be empty.
void abort_response(stream_state& self) {
    if (self.current_phase == stream_state::phase::ended || !self.builder) {
        return;
    }
    self.builder->connection_close();
    send_final_group(self, {}, 0);
}

// Sends a part of the body. Returns whether the pending callback will be called later; if not, the
// caller must report the failure.
bool send_body_part(stream_state& self, std::string part) {
    if (self.current_phase != stream_state::phase::not_started &&
        (part.empty() || self.omit_body)) {
        post_written(self, true);
        return true;
    }
    if (self.current_phase != stream_state::phase::started || !self.builder) {
        return false;
    }
    if (!self.chunked && part.size() > self.remaining) {
        abort_response(self);
        return false;
    }
    parts group;
    if (self.chunked) {
        group.emplace_back(fmt::format("{:x}\r\n", part.size()));
        group.emplace_back(std::move(part));
        group.emplace_back(restinio::const_buffer("\r\n"));
    } else {
        self.remaining -= part.size();
        group.emplace_back(std::move(part));
    }
    // The part that completes the announced length is the final group; no empty group follows.
    const bool last = !self.chunked && self.remaining == 0;
    auto notify = [io = self.registry->io, pending = self.pending,
                   progress = last ? std::move(self.progress)
                                   : progress_token()](const asio::error_code& failed) {
        asio::post(*io, [pending, success = !failed] {
            if (const auto written = pending->take()) {
                written(success);
            }
        });
    };
    self.builder->send(std::move(group), 0, last, std::move(notify));
    if (last) {
        self.current_phase = stream_state::phase::ended;
        self.builder.reset();
    }
    return true;
}

// Runs an action under the locks. Returns false without running it if the server has stopped.
template <class Action>
bool run_locked(stream_state& self, Action action) {
    const std::shared_lock lifetime_lock(self.registry->lifetime);
    if (self.registry->stopped) {
        return false;
    }
    const std::lock_guard lock(self.mutex);
    action();
    return true;
}

} // namespace

response_stream::response_stream(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {
    const std::lock_guard lock(state_->registry->mutex);
    state_->registry->streams.insert(state_.get());
}

response_stream::~response_stream() {
    run_locked(*state_, [this] {
        if (state_->current_phase == state::phase::not_started) {
            if (state_->builder) {
                state_->builder->connection_close();
            }
            send_response(*state_, {500, {}, "the request was not answered\n"});
        } else {
            abort_response(*state_);
        }
        state_->builder.reset();
        const std::lock_guard lock(state_->registry->mutex);
        state_->registry->streams.erase(state_.get());
    });
}

void response_stream::respond(http_response response) {
    run_locked(*state_, [&] { send_response(*state_, std::move(response)); });
}

void response_stream::begin(http_response_head head) {
    run_locked(*state_, [&] {
        auto& self = *state_;
        if (self.current_phase != state::phase::not_started || !self.builder) {
            return;
        }
        const bool bodyless = has_no_body(head.status);
        self.omit_body = self.omit_body || bodyless;
        self.chunked = !head.content_length && !bodyless;
        self.remaining = head.content_length.value_or(0);
        const auto frame = bodyless       ? framing::no_body
                           : self.chunked ? framing::chunks
                                          : framing::length;
        parts first;
        first.emplace_back(
            make_head(*self.builder, head.status, head.headers, frame, self.remaining));
        if (self.omit_body || (!self.chunked && self.remaining == 0)) {
            send_final_group(self, std::move(first), self.builder->status_line_bytes());
            return;
        }
        self.current_phase = state::phase::started;
        self.builder->send(std::move(first), self.builder->status_line_bytes(), false, {});
    });
}

void response_stream::write(std::string part, written_callback written) {
    const bool running = run_locked(*state_, [&] {
        {
            const std::lock_guard lock(state_->pending->mutex);
            assert(!state_->pending->written && "only one write may be pending");
            state_->pending->written = std::move(written);
        }
        if (!send_body_part(*state_, std::move(part))) {
            post_written(*state_, false);
        }
    });
    if (!running && written) {
        written(false);
    }
}

void response_stream::end() {
    run_locked(*state_, [this] {
        auto& self = *state_;
        if (self.current_phase != state::phase::started || !self.builder) {
            return;
        }
        if (!self.chunked) {
            abort_response(self);
            return;
        }
        parts last;
        last.emplace_back(restinio::const_buffer("0\r\n\r\n"));
        send_final_group(self, std::move(last), 0);
    });
}

void response_stream::abort() {
    run_locked(*state_, [this] { abort_response(*state_); });
}

namespace {

// Destroys the response builders of all streams and reports their pending writes as failed.
void stop_streams(stream_registry& registry) {
    std::vector<std::shared_ptr<stream_state::pending_write>> writes;
    {
        const std::unique_lock exclusive(registry.lifetime);
        registry.stopped = true;
        for (auto* stream : registry.streams) {
            stream->builder.reset();
            writes.push_back(stream->pending);
        }
        registry.streams.clear();
    }
    for (const auto& pending : writes) {
        if (const auto written = pending->take()) {
            written(false);
        }
    }
}

// Counts open connections by id, because RESTinio may report the end of a connection twice.
// RESTinio's own connection limiter is not usable: connections that are still open when the server
// stops are destroyed after the limiter and would call it.
class connection_counter {
  public:
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
        const std::lock_guard lock(mutex_);
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            open_.insert(notice.connection_id());
        } else {
            open_.erase(notice.connection_id());
        }
    }

    std::size_t count() const {
        const std::lock_guard lock(mutex_);
        return open_.size();
    }

  private:
    mutable std::mutex mutex_;
    std::unordered_set<restinio::connection_id_t> open_;
};

struct server_traits : restinio::default_traits_t {
    using request_handler_t =
        std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = connection_counter;
};

http_request copy_request(const restinio::request_t& from) {
    http_request request;
    request.method = from.header().method().c_str();
    request.path = std::string(from.header().path());
    request.query = std::string(from.header().query());
    from.header().for_each_field([&](const auto& field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = from.body();
    return request;
}

// Checks a request that RESTinio's parser has accepted. Returns the status with which to reject it,
// or 0 if it is valid. The parser limits the size of each field but not their sum, and accepts
// header names with spaces.
int check_request(const http_request& request, const http_server_limits& limits) {
    std::size_t total = request.path.size() + request.query.size();
    for (const auto& header : request.headers) {
        total += header.name.size() + header.value.size();
        if (!is_token(header.name)) {
            return 400;
        }
    }
    if (total > limits.header_bytes) {
        return 431;
    }
    return request.method == "CONNECT" ? 405 : 0;
}

std::shared_ptr<response_stream> make_stream(const std::shared_ptr<stream_registry>& registry,
                                             restinio::request_t& request, bool keep_alive) {
    auto initial = std::make_unique<stream_state>();
    initial->registry = registry;
    initial->progress = count_request(registry);
    initial->omit_body = request.header().method() == restinio::http_method_head();
    initial->builder.emplace(request.create_response<stream_output>());
    if (!keep_alive) {
        initial->builder->connection_close();
    }
    return std::make_shared<response_stream>(std::move(initial));
}

// Passes a request to the handler unless it is rejected.
void handle_request(restinio::request_t& from, const std::shared_ptr<stream_registry>& registry,
                    const http_server_limits& limits, const http_stream_handler& handler) {
    auto request = copy_request(from);
    const int rejection_status = check_request(request, limits);
    if (rejection_status != 0) {
        // Closes the connection, because the data that follows can't be parsed reliably.
        make_stream(registry, from, false)->respond({rejection_status, {}, ""});
        return;
    }
    // After the response to a request with an Upgrade header, RESTinio calls the handler again with
    // an empty request unless the connection is closed.
    const bool keep_alive =
        from.header().should_keep_alive() && !from.header().has_field("Upgrade");
    const auto stream = make_stream(registry, from, keep_alive);
    try {
        handler(std::move(request), stream);
    } catch (const std::exception& failure) {
        spdlog::error("request handler of {} threw an exception: {}",
                      from.header().request_target(), failure.what());
        stream->respond({500, {}, "internal error\n"});
    }
}

// Interval at which the timeouts of a connection are checked; there is one timer per connection.
std::chrono::milliseconds timer_interval(const http_server_limits& limits) {
    constexpr duration shortest{10};
    constexpr duration longest{2'500};
    return std::clamp(std::min(limits.read_timeout, limits.handle_timeout) / 4, shortest, longest);
}

} // namespace

struct http_server::state {
    std::unique_ptr<asio::io_context> io = std::make_unique<asio::io_context>();
    std::uint16_t port = 0;
    std::shared_ptr<stream_registry> streams = std::make_shared<stream_registry>();
    std::shared_ptr<connection_counter> connections = std::make_shared<connection_counter>();
    restinio::running_server_handle_t<server_traits> server;
};

http_server::http_server(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

http_server::~http_server() {
    stop();
}

result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                        http_handler handler) {
    return start_streaming(
        options, [handler = std::move(handler)](http_request request,
                                                const std::shared_ptr<response_stream>& stream) {
            handler(std::move(request),
                    [stream](http_response response) { stream->respond(std::move(response)); });
        });
}

result<std::unique_ptr<http_server>>
http_server::start_streaming(const http_server_options& options, http_stream_handler handler) {
    auto initial = std::make_unique<state>();
    initial->streams->io = initial->io.get();
    const auto& limits = options.limits;
    // The handler is posted instead of being called within RESTinio's request handler: a response
    // sent there makes RESTinio start reading the next request twice, and the second start discards
    // the data parsed before, so that the rest of a body is parsed as a request.
    auto on_request = [handler = std::make_shared<const http_stream_handler>(std::move(handler)),
                       limits, streams = initial->streams](restinio::request_handle_t request) {
        asio::post(*streams->io, [handler, limits, streams, request = std::move(request)] {
            handle_request(*request, streams, limits, *handler);
        });
        return restinio::request_accepted();
    };
    // RESTinio catches and logs the exception and closes the socket that exceeds the limit.
    auto reject_excess_connection = [connections = initial->connections,
                                     limit =
                                         limits.connections](restinio::socket_options_t& socket) {
        if (connections->count() >= limit) {
            throw std::runtime_error("connection limit reached");
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
    };
    restinio::server_settings_t<server_traits> server_settings;
    server_settings.address(options.address.host)
        .port(options.address.port)
        .request_handler(std::move(on_request))
        .connection_state_listener(initial->connections)
        .timer_manager(timer_interval(limits))
        .read_next_http_message_timelimit(limits.read_timeout)
        .handle_request_timeout(limits.handle_timeout)
        .write_http_response_timelimit(limits.handle_timeout)
        .concurrent_accepts_count(options.threads)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(limits.header_bytes / 2)
                                      .max_field_name_size(256)
                                      .max_field_value_size(limits.header_bytes / 2)
                                      .max_field_count(64)
                                      .max_body_size(limits.body_bytes))
        .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
            acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter(std::move(reject_excess_connection))
        .acceptor_post_bind_hook([&port = initial->port](asio::ip::tcp::acceptor& acceptor) {
            port = acceptor.local_endpoint().port();
        });
    try {
        initial->server =
            restinio::run_async<server_traits>(restinio::external_io_context(*initial->io),
                                               std::move(server_settings), options.threads);
    } catch (const std::exception& failure) {
        return error{error_kind::unavailable,
                     "can't listen on " + to_string(options.address) + ": " + failure.what()};
    }
    return std::unique_ptr<http_server>(new http_server(std::move(initial)));
}

std::uint16_t http_server::port() const {
    return state_->port;
}

std::size_t http_server::requests_in_progress() const {
    return state_->streams->in_progress;
}

void http_server::stop() {
    if (state_->server) {
        state_->server->stop();
        state_->server->wait();
        stop_streams(*state_->streams);
        state_->server.reset();
        state_->io.reset();
    }
}

} // namespace fulmar
