#include "soak/ledger.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// These tolerances follow from the platform's rules.

// A node or link counts as disturbed until this long after a fault.
constexpr milliseconds kFaultAftermath{3000};
// A request that was sent at most this long before the connection ended may
// have raced with the close.
constexpr milliseconds kCloseRaceSlack{200};
// A stop is taken into account until 1 s after the grace time.
constexpr seconds kStopWindow{7};
// Start of the last sixth of the grace time, counted from the SIGTERM.
constexpr seconds kLastSixthStart{5};
// A request that was sent later than this after the SIGTERM must not be cut
// off.
constexpr seconds kMaxSendAfterStop{3};

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::string ExpectedBody(std::string_view id) {
  return "ran " + std::string(id);
}

std::string FormatMs(Instant::duration time) {
  return std::to_string(duration_cast<milliseconds>(time).count());
}

}  // namespace

std::string Ledger::NestedId(const std::string& parent_id) {
  return parent_id + "." + std::to_string(++this->nested_count);
}

void Ledger::RecordRequest(const std::string& id,
                           bool idempotent,
                           const std::string& caller) {
  Attempt& attempt = this->attempts[id];
  attempt.idempotent = idempotent;
  attempt.caller = caller;
}

void Ledger::RecordSend(const std::string& id,
                        const NodeHistory& entry,
                        milliseconds limit) {
  Attempt& attempt = this->attempts.at(id);
  attempt.entry = &entry;
  attempt.sent = Now();
  attempt.limit = limit;
}

RunPtr Ledger::RecordRun(const HttpRequest& request,
                         const NodeHistory& node,
                         const Proxy& link) {
  const auto run = std::make_shared<Run>(Run{&node, &link, Now(), {}});
  const std::string id(request.Header("X-Attempt-Id"));
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    this->violations.push_back(id + " ran and nobody asked for it");
    return run;
  }
  Attempt& attempt = found->second;
  ++attempt.runs;
  attempt.run_records.push_back(run);
  if (request.Header("X-Caller-Service") != attempt.caller) {
    this->violations.push_back(id +
                               " ran for a caller that it did not come from");
  }
  if (!attempt.cut_report.empty()) {
    this->violations.push_back(std::exchange(attempt.cut_report, "") +
                               ", and passed on");
  }
  return run;
}

void Ledger::RecordAnswer(const std::string& id, const HttpResponse& answer) {
  Attempt& attempt = this->attempts.at(id);
  attempt.status = answer.status;
  if (answer.status == kOk) {
    ++this->served_count;
    if (answer.body != ExpectedBody(id) ||
        answer.Header("X-Server-Stamp").empty()) {
      this->violations.push_back(id + " was answered with `" + answer.body +
                                 "`");
    }
  } else if (answer.status < kServerError &&
             answer.status != kTooManyRequests) {
    this->violations.push_back(id + " was denied with " +
                               std::to_string(answer.status));
  } else if (answer.Header("X-Server-Stamp").empty()) {
    this->CheckNodeAnswer(id, attempt);
  }
}

// Checks an answer that the node made itself. A node that stops must not send
// its own answer while a backend server still runs the request.
void Ledger::CheckNodeAnswer(const std::string& id, const Attempt& attempt) {
  const Instant now = Now();
  const Instant disturbed_since = attempt.sent - kFaultAftermath;
  if (attempt.entry->DisturbedSince(disturbed_since) ||
      now >= attempt.sent + attempt.limit) {
    return;
  }
  const auto cut_off_by_stop_of = [&](const NodeHistory& node) {
    return node.LastStopWithin(now, kStopWindow) &&
           !InLastSixthOfGrace(attempt, node, now);
  };
  const auto cut_off = [&](const RunPtr& run) {
    return !run->ended && !run->link->DisturbedWithin(kFaultAftermath) &&
           !run->node->DisturbedSince(disturbed_since) &&
           (cut_off_by_stop_of(*attempt.entry) ||
            cut_off_by_stop_of(*run->node));
  };
  if (std::ranges::any_of(attempt.run_records, cut_off)) {
    this->violations.push_back("LOST " + Describe(id, attempt, now) +
                               ": answered " + std::to_string(attempt.status) +
                               " while a back end was at work");
  }
}

void Ledger::RecordNoAnswer(const std::string& id,
                            bool gave_up,
                            const std::string& reason) {
  Attempt& attempt = this->attempts.at(id);
  if (attempt.entry == nullptr) {
    return;  // There was no connection.
  }
  ++this->no_answer_count;
  const Instant now = Now();
  if (attempt.entry->DisturbedSince(attempt.sent - kFaultAftermath) ||
      InLastSixthOfGrace(attempt, *attempt.entry, now) ||
      (!gave_up && now >= attempt.sent + attempt.limit)) {
    return;
  }
  std::string description = "LOST " + Describe(id, attempt, now) + ": " +
                            (gave_up ? "no answer" : "cut") + ", " + reason;
  if (attempt.run_records.empty() && !gave_up) {
    attempt.cut_report = std::move(description);
    attempt.ended = now;
  } else {
    this->violations.push_back(std::move(description));
  }
}

// Whether a request that no backend server ran was sent on a connection that
// the node was just closing. Stalls of this process in between are allowed for.
bool Ledger::RacedWithClose(const Attempt& attempt) const {
  Instant::duration slack = kCloseRaceSlack;
  std::ranges::for_each(this->stalls, [&](const Stall& stall) {
    if (stall.end >= attempt.sent &&
        stall.end - stall.length <= attempt.ended) {
      slack += stall.length;
    }
  });
  return attempt.ended - attempt.sent <= slack;
}

// Whether the node was allowed to cut the request off at the end of its stop.
// It may do so when the request was sent soon after the SIGTERM and still ran
// in the last sixth of the grace time.
bool Ledger::InLastSixthOfGrace(const Attempt& attempt,
                                const NodeHistory& node,
                                Instant now) {
  const auto stop = node.LastStopWithin(now, kStopWindow);
  const auto ran_into_last_sixth = [&stop](const RunPtr& run) {
    return !run->ended || *run->ended >= *stop + kLastSixthStart;
  };
  return stop && !node.RestartedBefore(attempt.sent) &&
         now >= *stop + kLastSixthStart &&
         attempt.sent <= *stop + kMaxSendAfterStop &&
         std::ranges::any_of(attempt.run_records, ran_into_last_sixth);
}

// Describes what happened to a request. Times are relative to the SIGTERM of
// the entry node if there was one, otherwise to the moment of sending.
std::string Ledger::Describe(const std::string& id,
                             const Attempt& attempt,
                             Instant now) {
  const auto stop = attempt.entry->LastStopWithin(now, kStopWindow);
  const Instant origin = stop.value_or(attempt.sent);
  std::string text = id + " at " + attempt.entry->name() +
                     (stop ? ", after SIGTERM" : ", no SIGTERM") + ": sent " +
                     FormatMs(attempt.sent - origin) + ", ended " +
                     FormatMs(now - origin) + " of at most " +
                     FormatMs(attempt.sent + attempt.limit - origin);
  std::ranges::for_each(attempt.run_records, [&](const RunPtr& run) {
    text += ", at work at " + run->node->name() + " from " +
            FormatMs(run->began - origin) +
            (run->ended ? " to " + FormatMs(*run->ended - origin) : "");
    if (const auto run_node_stop = run->node->LastStopWithin(now, kStopWindow);
        run_node_stop && run->node != attempt.entry) {
      text += " (its SIGTERM " + FormatMs(*run_node_stop - origin) + ")";
    }
  });
  return text;
}

void Ledger::RecordOwnStall(Instant::duration length) {
  this->stalls.push_back({Now(), length});
}

void Ledger::RecordLateRequest(const std::string& id, milliseconds delay) {
  this->violations.push_back(id + " came " + std::to_string(delay.count()) +
                             " ms after the leave was acknowledged");
}

std::vector<std::string> Ledger::Violations() const {
  std::vector<std::string> all_violations = this->violations;
  std::ranges::for_each(
      this->attempts, [this, &all_violations](const auto& entry) {
        const auto& [id, attempt] = entry;
        const bool refused = attempt.status == kUnavailable ||
                             attempt.status == kTooManyRequests;
        if (!attempt.idempotent && attempt.runs > 1) {
          all_violations.push_back(id + " ran " + std::to_string(attempt.runs) +
                                   " times");
        }
        if (!attempt.idempotent && refused && attempt.runs > 0) {
          all_violations.push_back(id + " was refused as not run, and ran");
        }
        if (attempt.status == kOk && attempt.runs == 0) {
          all_violations.push_back(id + " was answered and never ran");
        }
        if (!attempt.cut_report.empty() && !this->RacedWithClose(attempt)) {
          all_violations.push_back(attempt.cut_report);
        }
      });
  return all_violations;
}

}  // namespace tanagerledge::soak
