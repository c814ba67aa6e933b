#include "crash_report.hpp"

#include <boost/stacktrace/safe_dump_to.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <exception>
#include <unistd.h>

// Start of the executable in memory, set by the linker.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char __executable_start;

namespace fulmar {

namespace {

constexpr std::array fatal_signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t longest_line = 400;
constexpr std::size_t longest_stack = 32; // frames
constexpr std::size_t alternate_stack_bytes = 64 * 1024;

struct kept_line {
    std::array<char, longest_line> text{};
    std::atomic<std::size_t> size{0};
};

// Two lines, so that the one that was completed last can be read while another is written.
std::array<kept_line, 2> kept_lines;
std::atomic<unsigned> newest_line{0};
std::atomic_flag writing_line = ATOMIC_FLAG_INIT;

int report_descriptor = -1;
std::array<char, 64> report_version{};
std::array<char, alternate_stack_bytes> alternate_stack;

// A text that is built without allocating, as a signal handler must.
struct signal_safe_text {
    std::array<char, 1'500> text{};
    std::size_t size = 0;

    void add(std::string_view part) {
        for (const char c : part) {
            if (size < text.size()) {
                text[size++] = c;
            }
        }
    }
    void add_number(std::uintptr_t value, unsigned base) {
        std::array<char, 20> digits{};
        std::size_t count = 0;
        do {
            digits[count++] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value != 0);
        while (count > 0) {
            add({&digits[--count], 1});
        }
    }
};

void write_all(std::string_view text) {
    while (!text.empty()) {
        const auto written = ::write(report_descriptor, text.data(), text.size());
        if (written <= 0) {
            return; // nobody reads the log; the process ends all the same
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

void add_stack(signal_safe_text& out) {
    std::array<const void*, longest_stack> frames{};
    const auto count =
        std::min(frames.size(), boost::stacktrace::safe_dump_to(frames.data(), sizeof(frames)));
    const auto base = reinterpret_cast<std::uintptr_t>(&__executable_start);
    for (std::size_t i = 0; i < count && frames[i] != nullptr; ++i) {
        out.add(i == 0 ? "0x" : ",0x");
        const auto address = reinterpret_cast<std::uintptr_t>(frames[i]);
        out.add_number(address >= base ? address - base : address, 16);
    }
}

void on_fatal_signal(int number) {
    signal_safe_text out;
    out.add("\nevent=crashed signal=");
    out.add_number(static_cast<std::uintptr_t>(number), 10);
    out.add(" version=");
    out.add(report_version.data());
    out.add(" stack=");
    add_stack(out);
    const auto& last = kept_lines[newest_line.load() % kept_lines.size()];
    out.add(" last_decision=\"");
    out.add({last.text.data(), std::min(last.size.load(), last.text.size())});
    out.add("\"\n");
    write_all({out.text.data(), out.size});
    // The action was reset when the handler was called, so this ends the process.
    ::raise(number);
}

[[noreturn]] void on_terminate() {
    std::string_view text = "unknown";
    std::array<char, 300> copy{};
    if (const auto current = std::current_exception()) {
        try {
            std::rethrow_exception(current);
        } catch (const std::exception& failure) {
            std::strncpy(copy.data(), failure.what(), copy.size() - 1);
            text = copy.data();
        } catch (...) {
            text = "not a std::exception";
        }
    }
    write_all("\nevent=unhandled_exception detail=\"");
    write_all(text);
    write_all("\"\n");
    std::abort();
}

} // namespace

void note_last_decision(std::string_view line) {
    if (writing_line.test_and_set()) {
        return; // another thread notes its line at this moment
    }
    const auto next = newest_line.load() + 1;
    auto& kept = kept_lines[next % kept_lines.size()];
    kept.size = 0;
    const auto size = std::min(line.size(), kept.text.size());
    std::memcpy(kept.text.data(), line.data(), size);
    kept.size = size;
    newest_line = next;
    writing_line.clear();
}

void install_crash_report(int out, std::string_view version) {
    report_descriptor = out;
    const auto size = std::min(version.size(), report_version.size() - 1);
    std::memcpy(report_version.data(), version.data(), size);
    // A stack overflow leaves no room on the stack itself.
    stack_t stack{};
    stack.ss_sp = alternate_stack.data();
    stack.ss_size = alternate_stack.size();
    ::sigaltstack(&stack, nullptr);
    for (const int number : fatal_signals) {
        struct sigaction action {};
        action.sa_handler = on_fatal_signal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
        ::sigaction(number, &action, nullptr);
    }
    std::set_terminate(on_terminate);
}

} // namespace fulmar
