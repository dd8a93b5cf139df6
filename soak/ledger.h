// Records every request of the soak by its attempt id, with its runs and its
// answer, and reports each violation of the rules listed in soak.h.

#ifndef TANAGERLEDGE_SOAK_LEDGER_H_
#define TANAGERLEDGE_SOAK_LEDGER_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "soak/node_history.h"
#include "soak/proxy.h"
#include "src/adapters/http_message.h"
#include "tanagerledge/types.h"

namespace tanagerledge::soak {

// One execution of a request by a backend server.
struct Run {
  const NodeHistory* node;  // The node of the backend server.
  const Proxy* link;        // Connects this node and the backend server.
  Instant began{};
  std::optional<Instant> ended;
};
using RunPtr = std::shared_ptr<Run>;

class Ledger {
 public:
  // Returns a new id for a call that a backend server makes while it runs a
  // request: the id of that request, a dot and a number.
  std::string NestedId(const std::string& parent_id);

  void RecordRequest(const std::string& id,
                     bool idempotent,
                     const std::string& caller);
  // Call this when the whole request is sent to the node `entry`. `limit` is
  // the smaller one of the caller's deadline and the route's timeout.
  void RecordSend(const std::string& id,
                  const NodeHistory& entry,
                  std::chrono::milliseconds limit);
  // Call this when a backend server starts to run a request, and set `ended` of
  // the returned run when it is done. A request that nobody made is a
  // violation.
  RunPtr RecordRun(const HttpRequest& request,
                   const NodeHistory& node,
                   const Proxy& link);
  void RecordAnswer(const std::string& id, const HttpResponse& answer);
  // Call this when the connection ended without a complete answer, or, with
  // `gave_up`, when the caller closed it because its timeout expired.
  void RecordNoAnswer(const std::string& id,
                      bool gave_up,
                      const std::string& reason);
  // Records that this process itself was delayed by `length` until now, so that
  // the delay isn't blamed on the nodes.
  void RecordOwnStall(Instant::duration length);
  // Records that a request reached a backend server `delay` after the node had
  // acknowledged that the server leaves.
  void RecordLateRequest(const std::string& id,
                         std::chrono::milliseconds delay);

  // Returns one line for each violation.
  std::vector<std::string> Violations() const;
  int served() const { return this->served_count; }
  int requested() const { return static_cast<int>(this->attempts.size()); }
  // Number of requests whose connection ended without an answer, for any
  // reason.
  int unanswered() const { return this->no_answer_count; }

 private:
  struct Attempt {
    bool idempotent = false;
    std::string caller;
    int runs = 0;
    int status = 0;                      // Status of the answer; 0: none.
    const NodeHistory* entry = nullptr;  // Null until the request is sent.
    Instant sent{};
    std::chrono::milliseconds limit{0};
    std::vector<RunPtr> run_records;
    // The violation to report when the connection was cut before any backend
    // server ran the request. Empty: no such cut.
    std::string cut_report;
    Instant ended{};  // Set together with `cut_report`.
  };
  struct Stall {
    Instant end{};
    Instant::duration length{};
  };

  bool RacedWithClose(const Attempt& attempt) const;
  void CheckNodeAnswer(const std::string& id, const Attempt& attempt);
  static bool InLastSixthOfGrace(const Attempt& attempt,
                                 const NodeHistory& node,
                                 Instant now);
  static std::string Describe(const std::string& id,
                              const Attempt& attempt,
                              Instant now);

  std::map<std::string, Attempt> attempts;
  std::vector<std::string> violations;
  std::vector<Stall> stalls;
  int served_count = 0;
  int no_answer_count = 0;
  int nested_count = 0;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_LEDGER_H_
