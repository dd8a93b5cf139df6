// What was asked and what became of it, by attempt id. The judge of the soak.

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

// A backend server's work on a request.
struct Run {
  const NodeHistory* node;  // Beside the backend server.
  const Proxy* link;        // Between the two.
  Instant began{};
  std::optional<Instant> ended;
};
using RunPtr = std::shared_ptr<Run>;

class Ledger {
 public:
  // Of a call that a backend server makes: the id of its request, a dot and a
  // number.
  std::string NestedId(const std::string& parent_id);

  void Asked(const std::string& id, bool repeatable, const std::string& caller);
  // The request goes out, whole, to a node; the lesser of the caller's deadline
  // and the route's time-out is its limit.
  void Sent(const std::string& id,
            const NodeHistory& entry,
            std::chrono::milliseconds limit);
  // Nothing for a request that nobody asked for.
  RunPtr Ran(const HttpRequest& request,
             const NodeHistory& node,
             const Proxy& link);
  void Answered(const std::string& id, const HttpResponse& answer);
  // The connection ended without a whole answer, or the caller ended it as it
  // would wait no longer.
  void Unanswered(const std::string& id, bool gave_up, const std::string& why);
  // This process was so late itself: the nodes are not to blame for that.
  void OnOwnStall(Instant::duration length);
  // A request reached a backend server so long after its leave was
  // acknowledged.
  void CameAfterLeave(const std::string& id, std::chrono::milliseconds late);

  // Each broken promise, in a line.
  std::vector<std::string> Faults() const;
  int served() const { return this->served_count; }
  int asked() const { return static_cast<int>(this->attempts.size()); }
  // Requests whose connection ended without an answer, whyever.
  int unanswered() const { return this->unanswered_count; }

 private:
  struct Attempt {
    bool repeatable = false;
    std::string caller;
    int runs = 0;
    int status = 0;                      // Of the answer; 0 when none came.
    const NodeHistory* entry = nullptr;  // Set once it is sent.
    Instant sent{};
    std::chrono::milliseconds limit{0};
    std::vector<RunPtr> work;
    std::string cut;  // How, when it was not passed on before.
    Instant ended{};  // Set with `cut`.
  };
  struct Stall {
    Instant until{};
    Instant::duration length{};
  };

  bool CrossedClose(const Attempt& attempt) const;
  void JudgeOwnAnswer(const std::string& id, const Attempt& attempt);
  static bool InLastSixth(const Attempt& attempt,
                          const NodeHistory& node,
                          Instant now);
  static std::string Story(const std::string& id,
                           const Attempt& attempt,
                           Instant now);

  std::map<std::string, Attempt> attempts;
  std::vector<std::string> faults;
  std::vector<Stall> stalls;
  int served_count = 0;
  int unanswered_count = 0;
  int nested_count = 0;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_LEDGER_H_
