// A process that ended by a signal left nothing in its log, so its fault couldn't be traced. Child
// processes crash on purpose, and what they wrote is read from a pipe.
#include "crash_report.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace fulmar;

namespace {

struct crashed_child {
    std::string output;
    int status = 0;
};

crashed_child crash(void (*fault)()) {
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::close(ends[0]);
        for (const int number : {SIGSEGV, SIGABRT}) {
            std::signal(number, SIG_DFL); // the test runner's handlers
        }
        install_crash_report(ends[1], "1.2.3");
        note_last_decision("event=an_older_decision");
        note_last_decision("event=the_last_decision task=7");
        fault();
        ::_exit(0);
    }
    ::close(ends[1]);
    crashed_child result;
    std::array<char, 512> part{};
    for (auto size = ::read(ends[0], part.data(), part.size()); size > 0;
         size = ::read(ends[0], part.data(), part.size())) {
        result.output.append(part.data(), static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    REQUIRE(::waitpid(child, &result.status, 0) == child);
    return result;
}

void throw_error() {
    throw std::runtime_error("row 5 is missing");
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a fatal signal leaves the stack, the version and the last decision in the log") {
    const auto child = crash([] { ::raise(SIGSEGV); });
    INFO(child.output);
    CHECK(contains(child.output, "event=crashed signal=11 version=1.2.3 stack=0x"));
    CHECK(contains(child.output, "last_decision=\"event=the_last_decision task=7\""));
    // The platform has to see what ended the process.
    REQUIRE(WIFSIGNALED(child.status));
    CHECK(WTERMSIG(child.status) == SIGSEGV);
}

TEST_CASE("an unhandled exception leaves its text in the log") {
    const auto child = crash([]() noexcept { throw_error(); });
    INFO(child.output);
    CHECK(contains(child.output, "event=unhandled_exception detail=\"row 5 is missing\""));
    CHECK(contains(child.output, "event=crashed signal=6"));
    REQUIRE(WIFSIGNALED(child.status));
    CHECK(WTERMSIG(child.status) == SIGABRT);
}
