// What a host logs about the answers that it gives to callers.
#include "callers.hpp"
#include "host_gossip.hpp"
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::string_view job = "0123456789abcdef";

// Returns the last logged line of an event, or an empty string.
std::string last_line(const std::string& log, const std::string& event) {
    const auto found = log.rfind("event=" + event + " ");
    return found == std::string::npos ? std::string()
                                      : log.substr(found, log.find('\n', found) - found);
}

// Sends a request to a host and returns the status; 0 without an answer.
int send(sim_world& world, std::size_t host, const http_request& request) {
    const auto status = std::make_shared<int>(0);
    platform::answer_caller(*world.host(host), request,
                            [status](const http_response& response) { *status = response.status; });
    world.run_for(startup_time);
    return *status;
}

http_request make_request(const std::string& method, const std::string& path) {
    http_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "desk.example:80"}};
    return request;
}

} // namespace

// A request for a queue that a host doesn't know leaves no trace otherwise, so that a late
// configuration can't be told from a wrong path.
TEST_CASE("a request for an unknown queue is logged with the configuration that lacks it") {
    sim_world world(81);
    world.keep_log(0);
    world.kill_host(0);
    world.start_host(0);
    world.run_for(startup_time);
    world.configure({world.queue("renders"), world.queue("previews"), world.queue("side")});
    world.run_for(startup_time);
    const auto generation = world.host(0)->config().generation.value;
    REQUIRE(generation == 2);
    CHECK(send(world, 0, make_request("GET", "/unknown/" + std::string(job))) == 404);
    auto line = last_line(world.log_of(0), "queue_unknown");
    INFO(line);
    CHECK(line.find(R"(caller_host="desk.example:80" path="/unknown/)") != std::string::npos);
    CHECK(line.find(" generation=2 age_ms=") != std::string::npos);
    CHECK(world.counter(0, "requests_rejected", "404") == 1);

    // A path from outside is neither long nor able to end the field or the line.
    CHECK(send(world, 0, make_request("GET", "/\"\n event=forged " + std::string(5'000, 'x'))) ==
          404);
    line = last_line(world.log_of(0), "queue_unknown");
    CHECK(line.size() < 300);
    CHECK(line.find("path=\"/?? event=forged x") != std::string::npos);
    CHECK(line.find(" generation=2 age_ms=") != std::string::npos);
}

// Every other answer that is given without calling the host is logged too.
TEST_CASE("a rejected request is logged with its status and reason") {
    sim_world world(82);
    world.keep_log(0);
    world.kill_host(0);
    world.start_host(0);
    // Nothing has been read yet.
    CHECK(send(world, 0, make_request("GET", "/renders/")) == 503);
    CHECK(last_line(world.log_of(0), "request_rejected").find("status=503 ") != std::string::npos);
    const auto path = "/renders/" + std::string(job);
    auto too_large = make_request("POST", path);
    too_large.body.assign(world.host(0)->config().limits.body_bytes + 1, ' ');
    auto malformed = make_request("POST", path);
    malformed.body = "{";
    const std::vector<std::pair<http_request, int>> requests{
        {too_large, 413},
        {malformed, 400},
        {make_request("GET", "/renders/not-an-id"), 400},
        {make_request("PUT", path), 405},
    };
    for (const auto& [request, status] : requests) {
        CHECK(send(world, 0, request) == status);
        const auto line = last_line(world.log_of(0), "request_rejected");
        INFO(line);
        CHECK(line.find("status=" + std::to_string(status) + " reason=\"") != std::string::npos);
        CHECK(line.find(" generation=1 age_ms=") != std::string::npos);
    }
}

// Without it, a submission that an old configuration routed can't be traced from its job's id.
TEST_CASE("a submission is logged with the configuration that routed it") {
    sim_world world(83);
    world.keep_log(0);
    world.kill_host(0);
    world.start_host(0);
    world.run_for(startup_time);
    world.configure({world.queue("renders")});
    world.run_for(startup_time);
    world.submit(0, sim_world::simple_job(1), duration(300));
    world.run_for(startup_time);
    const auto line = last_line(world.log_of(0), "hand_in");
    INFO(line);
    CHECK(line.find("outcome=accepted") != std::string::npos);
    CHECK(line.find(" generation=2") != std::string::npos);
}

// A host that hasn't received the newest configuration yet answered 404 for a queue that it adds.
TEST_CASE("a host that knows of a newer configuration denies no queue and accepts nothing late") {
    sim_world world(84);
    world.run_for(startup_time);
    const auto path = "/renders/" + std::string(job);
    CHECK(send(world, 0, make_request("GET", "/unknown/" + std::string(job))) == 404);
    host_status status;
    status.name = {"east-2"};
    status.data_centre = {"east"};
    status.generation = {99};
    status.config_age = duration(0);
    world.host(0)->on_datagram(encode(status));
    REQUIRE(world.host(0)->knows_newer_config());
    CHECK(send(world, 0, make_request("GET", "/unknown/" + std::string(job))) == 503);
    REQUIRE(world.host(0)->config_outdated());
    CHECK(send(world, 0, make_request("POST", path)) == 503);
    CHECK(send(world, 0, make_request("GET", path)) == 410); // no version changes a job's state
}

} // namespace fulmar
