// What the nodes of a partition remember of its keys: about 100 bytes for each,
// and the replies within a bound of their own.

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
  kClaimed,  // Its owner wants the log's word first; nobody may run it yet.
  kGranted,  // Its attempt may run, or may have.
  kEnded,    // Its attempt ran, or nobody can say any more.
};

class KeyIndex {
 public:
  struct Entry {
    KeyState state = KeyState::kGranted;
    bool is_logged = false;  // Its outcome stands on the log.
    bool reply_dropped = false;
    std::uint8_t outcome = 0;  // Values of Outcome and Reason, once ended.
    std::uint8_t reason = 0;
    std::uint32_t process = 0;  // Place in `processes`.
    std::uint64_t number = 0;
    Fingerprint fingerprint;
    WallTime stamp{};  // When it was admitted, by its owner's clock.
    std::unique_ptr<std::string> reply;  // Null when empty.
  };

  explicit KeyIndex(std::chrono::seconds window);

  const Entry* Find(const OnceKeyId& key) const;
  OnceAttempt AttemptOf(const Entry& entry) const;
  static OnceResult ResultOf(const Entry& entry);

  // The first attempt keeps the key; false when another has it.
  bool Insert(const OnceKeyId& key,
              const OnceAttempt& attempt,
              Fingerprint fingerprint,
              WallTime stamp,
              KeyState state);

  // Opens the way for the key's own attempt.
  void Grant(const OnceKeyId& key);

  // kNotRun forgets the key; false when another attempt has it.
  bool End(const OnceKeyId& key,
           const OnceAttempt& attempt,
           const OnceResult& result);

  // The outcome of a key's own attempt was read back.
  void MarkLogged(const OnceKeyId& key, const OnceAttempt& attempt);

  // Forgets what was claimed and never granted: the owner lost its seat.
  void DropClaimed();

  // Forgets keys older than the window, and raises the horizon past them.
  void Expire(WallTime wall);

  // Keys minted up to then may have run though they are not in the index.
  WallTime horizon() const { return this->mint_horizon; }
  void RaiseHorizon(WallTime mint);

  std::size_t size() const { return this->entries.size(); }
  std::size_t reply_bytes() const { return this->kept_reply_bytes; }

 private:
  struct Admission {
    WallTime stamp{};
    OnceKeyId key;
  };

  std::uint32_t PlaceOf(const OnceProcess& process);
  void Store(Entry& entry, const OnceResult& result);
  void DropOldReplies();
  void Erase(const OnceKeyId& key);

  const std::chrono::seconds window;
  std::unordered_map<OnceKeyId, Entry> entries;
  std::deque<Admission> admissions;  // By time, for Expire.
  std::deque<OnceKeyId> replies;     // By time, for DropOldReplies.
  std::vector<OnceProcess> processes;
  WallTime mint_horizon{};
  std::size_t kept_reply_bytes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_KEY_INDEX_H_
