#include "http_transfer.hpp"

#include <algorithm>
#include <array>
#include <cassert>

#include <sys/socket.h>

namespace fulmar {

namespace {

// Without a limit a server could send headers endlessly.
constexpr std::size_t response_header_limit = 64 * 1024;

// Largest body that libcurl sends together with the headers.
constexpr std::size_t largest_inline_body = 64 * 1024;

// Headers that libcurl generates; a second length or encoding would break the message framing.
constexpr std::array<std::string_view, 6> connection_headers{
    "Connection", "Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Keep-Alive"};

bool belongs_to_connection(const http_header& header) {
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view name) { return find_header({header}, name); });
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Returns whether the length of this response is defined, so that its end can be distinguished from
// a broken connection.
bool has_defined_length(const transfer& from, int status) {
    if (from.call.method == "HEAD" || status == 204 || status == 304) {
        return true;
    }
    if (const auto encoding = find_header(from.response.headers, "Transfer-Encoding")) {
        return encoding->ends_with("chunked");
    }
    return find_header(from.response.headers, "Content-Length").has_value();
}

// Processes the end of a header section. Interim responses (1xx) are skipped.
void finish_headers(transfer& to) {
    long status = 0;
    curl_easy_getinfo(to.easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200) {
        return;
    }
    to.response.status = static_cast<int>(status);
    to.length_defined = has_defined_length(to, to.response.status);
    if (!to.length_defined) {
        to.abort_reason = "the response has no length";
        return;
    }
    to.headers_complete = true;
    if (to.events.on_head) {
        to.events.on_head(to.response);
    }
}

std::size_t receive_header(char* data, std::size_t size, std::size_t count, void* user) {
    auto& to = *static_cast<transfer*>(user);
    record_progress(to);
    if (!std::exchange(to.progressed, true) && to.progress_timer) {
        to.progress_timer->cancel();
    }
    const std::string_view line(data, size * count);
    to.header_bytes += line.size();
    if (to.header_bytes > response_header_limit) {
        to.abort_reason = "the response headers are larger than the limit";
        return 0;
    }
    if (to.headers_complete) {
        return line.size(); // trailer field
    }
    if (line.starts_with("HTTP/")) {
        to.response.headers.clear();
        return line.size();
    }
    if (trim(line).empty()) {
        finish_headers(to);
        return to.abort_reason == nullptr ? line.size() : 0;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        to.response.headers.push_back(
            {std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
    }
    return line.size();
}

std::size_t receive_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto& to = *static_cast<transfer*>(user);
    const std::string_view part(data, size * count);
    record_progress(to);
    if (to.streaming) {
        to.paused = !to.events.on_data(part);
        return to.paused ? CURL_WRITEFUNC_PAUSE : part.size();
    }
    if (to.response.body.size() + part.size() > to.call.response_limit_bytes) {
        to.abort_reason = "the response body is larger than the limit";
        return 0;
    }
    to.response.body.append(part);
    return part.size();
}

// Returns whether the request may be sent now. It was sent before if libcurl is about to send it
// again, as the connection that it reused has ended. libcurl has no option against that.
bool may_send(transfer& to) {
    long sent_bytes = 0;
    curl_easy_getinfo(to.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (sent_bytes > to.sent_bytes) {
        to.sent_bytes = sent_bytes;
        ++to.broken_connections;
    }
    return sent_bytes == 0 || to.call.resend_allowed;
}

// libcurl callback: opens a socket for a new connection.
curl_socket_t open_socket(void* user, curlsocktype /*purpose*/, curl_sockaddr* address) {
    auto& to = *static_cast<transfer*>(user);
    if (!may_send(to)) {
        return CURL_SOCKET_BAD;
    }
    const auto socket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    to.on_open(socket);
    return socket;
}

// libcurl callback: a connection, new or reused, is ready for the request.
int before_request(void* user, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                   int /*local_port*/) {
    return may_send(*static_cast<transfer*>(user)) ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

// Appends a header in libcurl's notation: "Name:" removes a header, "Name;" sets one without a
// value.
curl_slist* append(curl_slist* list, const http_header& header) {
    const std::string line =
        header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    return curl_slist_append(list, line.c_str());
}

curl_slist* make_headers(const http_call& call) {
    curl_slist* list = nullptr;
    for (const auto& header : call.headers) {
        if (!belongs_to_connection(header)) {
            list = append(list, header);
        }
    }
    list = curl_slist_append(list, "Expect:");
    // Otherwise libcurl sends every body with the content type of a form.
    if (!find_header(call.headers, "Content-Type")) {
        list = curl_slist_append(list, "Content-Type:");
    }
    if (!find_header(call.headers, "Accept")) {
        list = curl_slist_append(list, "Accept:");
    }
    return list;
}

// Returns the time from submit() to a point in time that libcurl reports, or nullopt if the
// transfer didn't get there.
std::optional<std::chrono::microseconds> time_until(const transfer& from, CURLINFO point) {
    curl_off_t passed = 0;
    if (curl_easy_getinfo(from.easy, point, &passed) != CURLE_OK || passed == 0) {
        return std::nullopt;
    }
    const auto waited =
        std::chrono::duration_cast<std::chrono::microseconds>(from.started - from.submitted);
    return waited + std::chrono::microseconds(passed);
}

std::uint64_t read_count(const transfer& from, CURLINFO which) {
    curl_off_t count = 0;
    curl_easy_getinfo(from.easy, which, &count);
    return static_cast<std::uint64_t>(count);
}

// Returns at least 1, because libcurl takes 0 as no limit.
long milliseconds(duration limit) {
    return static_cast<long>(std::max<std::int64_t>(limit.count(), 1));
}

} // namespace

std::optional<error> validate_call(const http_call& call) {
    constexpr std::string_view line_ends("\r\n\0", 3);
    for (const auto& header : call.headers) {
        if (header.name.empty() || header.name.find_first_of(line_ends) != std::string::npos ||
            header.name.find_first_of(":; ") != std::string::npos ||
            header.value.find_first_of(line_ends) != std::string::npos) {
            return error{error_kind::invalid_argument, "malformed header: " + header.name};
        }
    }
    if (call.method.empty() || call.method.find_first_of(" \t\r\n") != std::string::npos) {
        return error{error_kind::invalid_argument, "malformed method: " + call.method};
    }
    if (call.timeout.count() <= 0) {
        return error{error_kind::timeout, call.url + ": the timeout has already passed"};
    }
    return std::nullopt;
}

void prepare_transfer(transfer& to, CURL* easy) {
    to.started = std::chrono::steady_clock::now();
    to.last_progress = to.submitted;
    to.easy = easy;
    to.headers = make_headers(to.call);
    curl_easy_setopt(easy, CURLOPT_URL, to.call.url.c_str());
    // Otherwise libcurl would rewrite paths that contain dot segments.
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(to.call.timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(to.call.connect_timeout));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, to.call.fresh_connection ? 1L : 0L);
    // Otherwise this connection would be kept in addition to those in use, and the number of idle
    // connections would grow.
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, to.call.fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &to);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &to);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &to);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &to);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &to);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, to.headers);
    if (!to.call.body.empty() || to.call.method == "POST" || to.call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(to.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, to.call.body.data());
    }
    if (to.call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, to.call.method.c_str());
}

CURL* release_transfer(transfer& from) {
    from.progress_timer.reset();
    curl_slist_free_all(std::exchange(from.headers, nullptr));
    return std::exchange(from.easy, nullptr);
}

std::optional<duration> progress_limit(const transfer& of) {
    const bool first = !of.progressed && of.call.first_byte_timeout.count() > 0;
    const auto limit = first ? of.call.first_byte_timeout : of.call.stall_timeout;
    return limit.count() > 0 ? std::optional(limit) : std::nullopt;
}

void record_progress(transfer& of) {
    of.last_progress = std::chrono::steady_clock::now();
}

http_call_use measure_use(const transfer& from, CURLcode code) {
    long request_bytes = 0;
    long header_bytes = 0;
    curl_easy_getinfo(from.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(from.easy, CURLINFO_HEADER_SIZE, &header_bytes);
    http_call_use use;
    use.label = from.call.label;
    use.sent_bytes = static_cast<std::uint64_t>(request_bytes);
    // libcurl sends a small body with the headers and then counts it as part of the request.
    if (from.call.body.size() > largest_inline_body) {
        use.sent_bytes += read_count(from, CURLINFO_SIZE_UPLOAD_T);
    }
    use.received_bytes =
        static_cast<std::uint64_t>(header_bytes) + read_count(from, CURLINFO_SIZE_DOWNLOAD_T);
    use.ready = time_until(from, CURLINFO_PRETRANSFER_TIME_T);
    use.first_byte = time_until(from, CURLINFO_STARTTRANSFER_TIME_T);
    use.timed_out = code == CURLE_OPERATION_TIMEDOUT;
    use.broken_connections = from.broken_connections;
    return use;
}

http_call_result finish_transfer(transfer& from, CURLcode code) {
    long sent_bytes = 0;
    curl_easy_getinfo(from.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    http_call_result outcome{error{error_kind::unavailable, ""}, sent_bytes > 0};
    if (code == CURLE_OK && from.headers_complete) {
        outcome.response = std::move(from.response);
        return outcome;
    }
    error failure{error_kind::unavailable, from.call.url + ": " + curl_easy_strerror(code)};
    if (from.abort_reason != nullptr) {
        failure = {error_kind::protocol_error, from.call.url + ": " + from.abort_reason};
    } else if (outcome.request_sent) {
        failure.kind =
            code == CURLE_OPERATION_TIMEDOUT ? error_kind::timeout : error_kind::outcome_unknown;
        if (from.broken_connections > 0) {
            failure.detail += " (the connection ended before a response)";
        }
    }
    outcome.response = std::move(failure);
    return outcome;
}

} // namespace fulmar
