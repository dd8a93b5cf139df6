// Writes one line to standard output when a signal of its own, such as SIGSEGV
// or SIGABRT, ends the process: the signal and what the process did last.
//
//   StartCrashLog(node);
//   ...
//   NoteActivity("heartbeat", instance);

#ifndef TANAGERLEDGE_SRC_ADAPTERS_CRASH_LOG_H_
#define TANAGERLEDGE_SRC_ADAPTERS_CRASH_LOG_H_

#include <string_view>

namespace tanagerledge {

// Installs the signal handlers. `node` names this node in the line.
void StartCrashLog(std::string_view node);

// Remembers what the calling thread begins to do, and for what: the id of a
// call or an instance. Both texts are cut to 60 bytes.
void NoteActivity(std::string_view what, std::string_view subject);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_CRASH_LOG_H_
