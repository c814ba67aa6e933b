// Open-loop load generator: sends requests at a constant rate, whether or not earlier ones were
// answered, measures latencies from the scheduled send times, and checks every answer.
#include "fulmar/daemon.hpp"
#include "load_run.hpp"

#include <popt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <thread>

namespace fulmar {

namespace {

using steady = std::chrono::steady_clock;

constexpr int count_limit = 2'000'000;
constexpr int seconds_limit = 3'600;
// Maximum number of requests in progress. With more, the generator's own memory and sockets would
// limit the result.
constexpr std::int64_t outstanding_limit = 5'000;
constexpr duration verify_timeout{30'000};
constexpr std::size_t verify_limit_bytes = 512 * 1024 * 1024;

struct command_line {
    load_options load;
    std::vector<std::string> verify;
    int threads = 2;
};

std::vector<std::string> split(const char* list) {
    std::vector<std::string> items;
    std::string_view rest = list == nullptr ? "" : list;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        items.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return items;
}

// Returns an error message for invalid options, or nothing.
std::optional<std::string> find_problem(const command_line& line, int seconds) {
    const auto& load = line.load;
    if (load.gates.empty()) {
        return "--gates ADDRESS,... is needed";
    }
    for (const auto& list : {load.gates, line.verify}) {
        for (const auto& address : list) {
            if (!parse_address(address)) {
                return "malformed address: " + address;
            }
        }
    }
    const bool bounded = load.rate > 0 && load.rate <= 1e6 && load.count >= 1 &&
                         load.count <= count_limit && seconds >= 1 && seconds <= seconds_limit &&
                         load.non_idempotent_percent >= 0 && load.non_idempotent_percent <= 100 &&
                         load.body_bytes <= 1'000'000 && load.retries >= 0 && load.retries <= 10 &&
                         load.deadline.count() >= 1 && load.deadline.count() <= 600'000 &&
                         line.threads >= 1 && line.threads <= 16 && load.path.starts_with('/');
    return bounded ? std::nullopt : std::optional<std::string>("an option is out of range");
}

// Reads the options. Returns an exit code if the program must end at once.
std::optional<int> parse_command_line(int argc, const char** argv, command_line& line) {
    char* gates = nullptr;
    char* verify = nullptr;
    char* path = nullptr;
    int count = 1'000;
    int seconds = 60;
    int percent = 0;
    int body_bytes = 100;
    int retries = 0;
    int retry_unknown = 0;
    int deadline_ms = 1'000;
    long seed = 1;
    int version = 0;
    auto& load = line.load;
    const poptOption options[] = {
        {"gates", 'g', POPT_ARG_STRING, &gates, 0, "gates to send to", "ADDRESS,..."},
        {"path", 'p', POPT_ARG_STRING, &path, 0, "path, /<service>/<name>", "PATH"},
        {"rate", 'r', POPT_ARG_DOUBLE, &load.rate, 0, "arrivals per second (100)", "NUMBER"},
        {"count", 'n', POPT_ARG_INT, &count, 0, "requests, at most 2000000 (1000)", "NUMBER"},
        {"seconds", 't', POPT_ARG_INT, &seconds, 0, "longest run, at most 3600 (60)", "NUMBER"},
        {"non-idempotent", 'x', POPT_ARG_INT, &percent, 0,
         "share of requests that must not run twice (0)", "PERCENT"},
        {"body-bytes", 'b', POPT_ARG_INT, &body_bytes, 0, "size of each body (100)", "NUMBER"},
        {"retries", 'R', POPT_ARG_INT, &retries, 0, "attempts after the first (0)", "NUMBER"},
        {"retry-unknown", 'u', POPT_ARG_NONE, &retry_unknown, 0,
         "repeat non-idempotent requests of unknown outcome, with the same key", nullptr},
        {"deadline-ms", 'd', POPT_ARG_INT, &deadline_ms, 0, "deadline of each request (1000)",
         "NUMBER"},
        {"seed", 's', POPT_ARG_LONG, &seed, 0, "seed of ids and bodies (1)", "NUMBER"},
        {"threads", 'T', POPT_ARG_INT, &line.threads, 0, "client threads (2)", "NUMBER"},
        {"verify", 'v', POPT_ARG_STRING, &verify, 0,
         "endpoints whose /executions are checked afterwards", "ADDRESS,..."},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    using owned_text = std::unique_ptr<char, decltype(&std::free)>;
    const std::array<owned_text, 3> owners{
        owned_text(gates, std::free), owned_text(verify, std::free), owned_text(path, std::free)};
    load.gates = split(gates);
    line.verify = split(verify);
    load.path = path == nullptr ? load.path : path;
    if (version != 0) {
        std::puts("fulmarwind " FULMAR_VERSION);
        return exit_ok;
    }
    load.count = std::min(static_cast<std::uint64_t>(std::max(count, 0)),
                          static_cast<std::uint64_t>(std::max(load.rate * seconds, 1.0)));
    load.non_idempotent_percent = percent;
    load.body_bytes = static_cast<std::size_t>(std::max(body_bytes, 0));
    load.retries = retries;
    load.retry_unknown = retry_unknown != 0;
    load.deadline = duration(deadline_ms);
    load.seed = static_cast<std::uint64_t>(seed);
    auto problem = find_problem(line, seconds);
    if (status < -1 || poptPeekArg(context.get()) != nullptr) {
        problem = status < -1 ? poptStrerror(status) : "unexpected argument";
    }
    if (problem) {
        std::fprintf(stderr, "%s: %s; see --help\n", argv[0], problem->c_str());
        return exit_usage;
    }
    return std::nullopt;
}

// State of one run. While a request is in progress, only its callback accesses its record.
struct load_state {
    load_options options;
    std::vector<load_record> records;
    std::atomic<std::int64_t> outstanding{0};
    steady::time_point start;
    // Declared last, so that it is destroyed first: its callbacks use the other members.
    http_client client;

    load_state(const load_options& wanted, std::size_t threads)
        : options(wanted)
        , records(wanted.count)
        , client(threads) {}
};

void send_attempt(load_state& self, std::uint64_t n) {
    auto& record = self.records[n];
    self.client.submit(
        make_load_call(self.options, n, record.attempts), [&self, n](const http_call_result& end) {
            auto& to = self.records[n];
            record_outcome(to, self.options, n, end);
            if (should_retry(to, self.options)) {
                send_attempt(self, n);
                return;
            }
            const auto scheduled = self.start + arrival_time(self.options, n);
            to.latency_us =
                std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - scheduled)
                    .count();
            --self.outstanding;
        });
}

// Sends all requests at their scheduled times and waits for the last outcome. Returns the duration
// of the run in seconds.
double send_all(load_state& self) {
    self.start = steady::now();
    for (std::uint64_t n = 0; n < self.records.size(); ++n) {
        std::this_thread::sleep_until(self.start + arrival_time(self.options, n));
        auto& record = self.records[n];
        record.non_idempotent = is_non_idempotent(self.options, n);
        if (self.outstanding >= outstanding_limit) {
            record.outcome = load_outcome::transport;
            record.reason = "generator limit, not sent";
            continue;
        }
        ++self.outstanding;
        send_attempt(self, n);
    }
    // Every call ends at its timeout at the latest.
    while (self.outstanding > 0) {
        std::this_thread::sleep_for(duration(1));
    }
    return std::chrono::duration<double>(steady::now() - self.start).count();
}

// Adds up the executions reported by all endpoints. Returns false if one of them can't be read.
bool read_executions(const std::vector<std::string>& endpoints, execution_counts& counts) {
    http_client client;
    for (const auto& address : endpoints) {
        http_call call;
        call.url = "http://" + address + "/executions";
        call.timeout = verify_timeout;
        call.response_limit_bytes = verify_limit_bytes;
        const auto answer = client.call(std::move(call));
        const auto added =
            answer ? add_executions(counts, answer.value().body) : result<void>(answer.error());
        if (!added) {
            std::printf("check failed: %s: %s\n", address.c_str(), added.error().detail.c_str());
            return false;
        }
    }
    return true;
}

int run(const command_line& line) {
    load_state state(line.load, static_cast<std::size_t>(line.threads));
    const double seconds = send_all(state);
    std::printf("%s", summarize(state.options, state.records, seconds).c_str());

    execution_counts counts;
    bool holds = read_executions(line.verify, counts);
    for (const auto& violation : find_violations(state.options, state.records, counts)) {
        std::printf("check failed: %s\n", violation.c_str());
        holds = false;
    }
    std::printf("checks: %s%s\n", holds ? "hold" : "failed",
                line.verify.empty() ? " (executions not read)" : "");
    return holds ? exit_ok : exit_failure;
}

} // namespace

} // namespace fulmar

int main(int argc, const char** argv) {
    using namespace fulmar;
    command_line line;
    if (const auto code = parse_command_line(argc, argv, line)) {
        return *code;
    }
    return run(line);
}
