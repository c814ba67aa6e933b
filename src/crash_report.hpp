// What a process leaves in its log when it ends by a fatal signal or an unhandled exception.
#pragma once

#include <string_view>

namespace fulmar {

// From then on, a fatal signal writes one line to the file descriptor `out` before the process ends
// by that signal: the signal, the version, the stack as offsets in the executable (for addr2line),
// and the last line that was passed to note_last_decision. An unhandled exception writes its text
// first. Call once, before other threads start.
void install_crash_report(int out, std::string_view version);

// Keeps the start of a line for the report. Thread-safe; doesn't allocate.
void note_last_decision(std::string_view line);

} // namespace fulmar
