// The executing side of at-most-once calls: tracks the attempts of one node.
//
// An attempt claims its key from the owner of the partition, on this or another
// node, and runs only if the owner grants the claim. An attempt that was given
// up never runs. The result of an ended attempt is sent to the owner repeatedly
// until it is on the log.

#ifndef TANAGERLEDGE_SRC_EXECUTION_ONCE_GATE_H_
#define TANAGERLEDGE_SRC_EXECUTION_ONCE_GATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "execution_types.h"
#include "src/execution/once_partition.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

// The verdict on attempt `number`. Each Begin is followed by exactly one.
struct AttemptVerdict {
  std::uint64_t number = 0;
  OnceVerdict verdict;
};

class OnceGate {
 public:
  OnceGate(OnceProcess self, OnceTiming timing);

  // Sets the nodes that receive claims while the owner is unknown, best first.
  void SetCandidates(int partition, std::vector<NodeId> candidates);

  // Starts an attempt and returns its number.
  std::uint64_t Begin(const OnceKeyId& key,
                      std::optional<WallTime> mint,
                      Fingerprint fingerprint,
                      Instant deadline,
                      OnceTime time);

  // Ends an attempt that received a ticket. kNotRun: it never reached the
  // backend server and never will.
  void Finish(std::uint64_t number, const OnceResult& result, OnceTime time);

  void OnMessage(const NodeId& from,
                 const wire::OnceMessage& message,
                 OnceTime time);
  void OnTick(OnceTime time);

  std::vector<OnceSend> TakeMessages();
  std::vector<AttemptVerdict> TakeVerdicts();

  std::size_t size() const { return this->attempts.size(); }

 private:
  enum class State { kClaiming, kRunning, kEnded };

  struct Attempt {
    State state = State::kClaiming;
    OnceKeyId key;
    std::optional<WallTime> mint;
    Fingerprint fingerprint;
    Instant deadline{};
    Instant last_sent{};
    int redirects = 0;  // Since the claim was last sent by OnTick.
    OnceResult result;
    bool is_logged = false;
  };

  struct Route {
    std::vector<NodeId> candidates;
    std::optional<NodeId> owner;  // As last reported by another node.
    std::size_t tries = 0;
  };

  void OnAnswer(const NodeId& from,
                int partition,
                const wire::OnceAnswer& answer,
                OnceTime time);
  void OnFinishAck(int partition, const wire::OnceFinishAck& ack);
  void OnStatusAsk(const NodeId& from,
                   int partition,
                   const wire::OnceStatusAsk& ask);
  void GiveUp(std::uint64_t number, Attempt& attempt, OnceTime time);
  void End(std::uint64_t number,
           Attempt& attempt,
           const OnceResult& result,
           OnceTime time);
  void SendClaim(std::uint64_t number, Attempt& attempt, OnceTime time);
  void SendFinish(std::uint64_t number, Attempt& attempt, OnceTime time);
  void ResendFinishes(OnceTime time);
  void EvictOldAttempts(OnceTime time);
  std::optional<NodeId> TargetOf(int partition);
  void LearnOwner(int partition, const std::string& owner);
  std::optional<std::uint64_t> OwnNumber(const wire::OnceAttempt& attempt);
  wire::OnceMessage NewMessage(int partition) const;

  const OnceProcess self;
  const OnceTiming timing;
  std::array<Route, kOncePartitions> routes;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, Attempt> attempts;  // Ordered by age.
  std::vector<std::uint64_t> claiming;
  // Ended attempts whose outcome is not known to be on the log.
  std::deque<std::uint64_t> unlogged;
  std::vector<OnceSend> messages;
  std::vector<AttemptVerdict> verdicts;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_ONCE_GATE_H_
