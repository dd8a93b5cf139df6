#include "soak/ledger.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The bounds of the platform.
constexpr milliseconds kContact{3000};
constexpr milliseconds kLossSlack{200};
// A stop counts until 1 s after the grace time.
constexpr seconds kStopCounts{7};
constexpr seconds kLastSixth{5};
constexpr seconds kSoonAfterStop{3};

constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::string BodyOf(std::string_view id) {
  return "ran " + std::string(id);
}

std::string Ms(Instant::duration time) {
  return std::to_string(duration_cast<milliseconds>(time).count());
}

}  // namespace

std::string Ledger::NestedId(const std::string& parent_id) {
  return parent_id + "." + std::to_string(++this->nested_count);
}

void Ledger::Asked(const std::string& id,
                   bool repeatable,
                   const std::string& caller) {
  Attempt& attempt = this->attempts[id];
  attempt.repeatable = repeatable;
  attempt.caller = caller;
}

void Ledger::Sent(const std::string& id,
                  const NodeHistory& entry,
                  milliseconds limit) {
  Attempt& attempt = this->attempts.at(id);
  attempt.entry = &entry;
  attempt.sent = Now();
  attempt.limit = limit;
}

RunPtr Ledger::Ran(const HttpRequest& request,
                   const NodeHistory& node,
                   const Proxy& link) {
  const auto run = std::make_shared<Run>(Run{&node, &link, Now(), {}});
  const std::string id(request.Header("X-Attempt-Id"));
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    this->faults.push_back(id + " ran and nobody asked for it");
    return run;
  }
  Attempt& attempt = found->second;
  ++attempt.runs;
  attempt.work.push_back(run);
  if (request.Header("X-Caller-Service") != attempt.caller) {
    this->faults.push_back(id + " ran for a caller that it did not come from");
  }
  if (!attempt.cut.empty()) {
    this->faults.push_back(std::exchange(attempt.cut, "") + ", and passed on");
  }
  return run;
}

void Ledger::Answered(const std::string& id, const HttpResponse& answer) {
  Attempt& attempt = this->attempts.at(id);
  attempt.status = answer.status;
  if (answer.status == kOk) {
    ++this->served_count;
    if (answer.body != BodyOf(id) || answer.Header("X-Server-Stamp").empty()) {
      this->faults.push_back(id + " was answered with `" + answer.body + "`");
    }
  } else if (answer.status < kServerError && answer.status != kTooMany) {
    this->faults.push_back(id + " was denied with " +
                           std::to_string(answer.status));
  } else if (answer.Header("X-Server-Stamp").empty()) {
    this->JudgeOwnAnswer(id, attempt);
  }
}

// A node that stops must not put an answer of its own in the place of one that
// a backend server is at work on.
void Ledger::JudgeOwnAnswer(const std::string& id, const Attempt& attempt) {
  const Instant now = Now();
  const Instant touched_since = attempt.sent - kContact;
  if (attempt.entry->HarmedSince(touched_since) ||
      now >= attempt.sent + attempt.limit) {
    return;
  }
  const auto broken_off_by = [&](const NodeHistory& node) {
    return node.StopWithin(now, kStopCounts) &&
           !InLastSixth(attempt, node, now);
  };
  const auto broken_off = [&](const RunPtr& run) {
    return !run->ended && !run->link->Harmed(kContact) &&
           !run->node->HarmedSince(touched_since) &&
           (broken_off_by(*attempt.entry) || broken_off_by(*run->node));
  };
  if (std::ranges::any_of(attempt.work, broken_off)) {
    this->faults.push_back("LOST " + Story(id, attempt, now) + ": answered " +
                           std::to_string(attempt.status) +
                           " while a back end was at work");
  }
}

void Ledger::Unanswered(const std::string& id,
                        bool gave_up,
                        const std::string& why) {
  Attempt& attempt = this->attempts.at(id);
  if (attempt.entry == nullptr) {
    return;  // There was no connection.
  }
  ++this->unanswered_count;
  const Instant now = Now();
  if (attempt.entry->HarmedSince(attempt.sent - kContact) ||
      InLastSixth(attempt, *attempt.entry, now) ||
      (!gave_up && now >= attempt.sent + attempt.limit)) {
    return;
  }
  std::string story = "LOST " + Story(id, attempt, now) + ": " +
                      (gave_up ? "no answer" : "cut") + ", " + why;
  if (attempt.work.empty() && !gave_up) {
    attempt.cut = std::move(story);
    attempt.ended = now;
  } else {
    this->faults.push_back(std::move(story));
  }
}

// Whether a request that was not passed on met a connection that was just being
// closed.
bool Ledger::CrossedClose(const Attempt& attempt) const {
  Instant::duration slack = kLossSlack;
  std::ranges::for_each(this->stalls, [&](const Stall& stall) {
    if (stall.until >= attempt.sent &&
        stall.until - stall.length <= attempt.ended) {
      slack += stall.length;
    }
  });
  return attempt.ended - attempt.sent <= slack;
}

// At the end of a node's stop work may be cut that goes on in the last sixth of
// the grace time, when its request was sent soon after the SIGTERM.
bool Ledger::InLastSixth(const Attempt& attempt,
                         const NodeHistory& node,
                         Instant now) {
  const auto stop = node.StopWithin(now, kStopCounts);
  const auto late = [&stop](const RunPtr& run) {
    return !run->ended || *run->ended >= *stop + kLastSixth;
  };
  return stop && !node.StartedAnewBy(attempt.sent) &&
         now >= *stop + kLastSixth && attempt.sent <= *stop + kSoonAfterStop &&
         std::ranges::any_of(attempt.work, late);
}

// With the times after the entry's SIGTERM, if there was one.
std::string Ledger::Story(const std::string& id,
                          const Attempt& attempt,
                          Instant now) {
  const auto stop = attempt.entry->StopWithin(now, kStopCounts);
  const Instant zero = stop.value_or(attempt.sent);
  std::string text = id + " at " + attempt.entry->name() +
                     (stop ? ", after SIGTERM" : ", no SIGTERM") + ": sent " +
                     Ms(attempt.sent - zero) + ", ended " + Ms(now - zero) +
                     " of at most " + Ms(attempt.sent + attempt.limit - zero);
  std::ranges::for_each(attempt.work, [&](const RunPtr& run) {
    text += ", at work at " + run->node->name() + " from " +
            Ms(run->began - zero) +
            (run->ended ? " to " + Ms(*run->ended - zero) : "");
    if (const auto other = run->node->StopWithin(now, kStopCounts);
        other && run->node != attempt.entry) {
      text += " (its SIGTERM " + Ms(*other - zero) + ")";
    }
  });
  return text;
}

void Ledger::OnOwnStall(Instant::duration length) {
  this->stalls.push_back({Now(), length});
}

void Ledger::CameAfterLeave(const std::string& id, milliseconds late) {
  this->faults.push_back(id + " came " + std::to_string(late.count()) +
                         " ms after the leave was acknowledged");
}

std::vector<std::string> Ledger::Faults() const {
  std::vector<std::string> all = this->faults;
  std::ranges::for_each(this->attempts, [this, &all](const auto& entry) {
    const auto& [id, attempt] = entry;
    const bool refused =
        attempt.status == kUnavailable || attempt.status == kTooMany;
    if (!attempt.repeatable && attempt.runs > 1) {
      all.push_back(id + " ran " + std::to_string(attempt.runs) + " times");
    }
    if (!attempt.repeatable && refused && attempt.runs > 0) {
      all.push_back(id + " was refused as not run, and ran");
    }
    if (attempt.status == kOk && attempt.runs == 0) {
      all.push_back(id + " was answered and never ran");
    }
    if (!attempt.cut.empty() && !this->CrossedClose(attempt)) {
      all.push_back(attempt.cut);
    }
  });
  return all;
}

}  // namespace tanagerledge::soak
