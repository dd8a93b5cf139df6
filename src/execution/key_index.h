// The keys of one partition with the state of their attempts. A key takes about
// 100 bytes; the size of all replies together is limited separately.

#ifndef TANAGERLEDGE_SRC_EXECUTION_KEY_INDEX_H_
#define TANAGERLEDGE_SRC_EXECUTION_KEY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tanagerledge/once.h"

namespace tanagerledge {

enum class KeyState : std::uint8_t {
  // The owner waits for its intent on the log; the attempt must not run yet.
  kClaimed,
  kGranted,  // The attempt may run or may have run.
  kEnded,  // The attempt has ended, or its outcome can no longer be determined.
};

class KeyIndex {
 public:
  struct Entry {
    KeyState state = KeyState::kGranted;
    bool is_logged = false;  // The outcome is on the log.
    bool reply_dropped = false;
    // Values of Outcome and Reason, valid in state kEnded.
    std::uint8_t outcome = 0;
    std::uint8_t reason = 0;
    std::uint32_t process = 0;  // Index into `processes`.
    std::uint64_t number = 0;
    Fingerprint fingerprint;
    WallTime stamp{};  // When the key was admitted, by its owner's clock.
    std::unique_ptr<std::string> reply;  // Null when empty.
  };

  explicit KeyIndex(std::chrono::seconds window);

  const Entry* Find(const OnceKeyId& key) const;
  OnceAttempt AttemptOf(const Entry& entry) const;
  static OnceResult ResultOf(const Entry& entry);

  // Adds a key for its first attempt. Returns false if another attempt holds
  // the key.
  bool Insert(const OnceKeyId& key,
              const OnceAttempt& attempt,
              Fingerprint fingerprint,
              WallTime stamp,
              KeyState state);

  // Allows the attempt that holds the key to run.
  void Grant(const OnceKeyId& key);

  // Records the result of an attempt. kNotRun removes the key. Returns false if
  // another attempt holds the key.
  bool End(const OnceKeyId& key,
           const OnceAttempt& attempt,
           const OnceResult& result);

  // Records that the outcome of the attempt that holds the key was read back
  // from the log.
  void MarkLogged(const OnceKeyId& key, const OnceAttempt& attempt);

  // Removes keys that were claimed but not granted, because this process has
  // lost the seat.
  void DropClaimed();

  // Removes keys older than the resend window and raises the horizon
  // accordingly.
  void Expire(WallTime wall);

  // Keys created at or before the horizon may have run even if they are not in
  // the index.
  WallTime horizon() const { return this->mint_horizon; }
  void RaiseHorizon(WallTime mint);

  std::size_t size() const { return this->entries.size(); }
  std::size_t reply_bytes() const { return this->stored_reply_bytes; }

 private:
  struct Admission {
    WallTime stamp{};
    OnceKeyId key;
  };

  std::uint32_t InternProcess(const OnceProcess& process);
  void Store(Entry& entry, const OnceResult& result);
  void DropOldReplies();
  void Erase(const OnceKeyId& key);

  const std::chrono::seconds window;
  std::unordered_map<OnceKeyId, Entry> entries;
  std::deque<Admission> admissions;  // Ordered by time, for Expire.
  std::deque<OnceKeyId> replies;     // Ordered by time, for DropOldReplies.
  std::vector<OnceProcess> processes;
  WallTime mint_horizon{};
  std::size_t stored_reply_bytes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_KEY_INDEX_H_
