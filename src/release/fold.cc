#include "tanagerledge/fold.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxPublishIdBytes = 64;
constexpr std::size_t kMaxOperatorBytes = 64;
constexpr std::size_t kMaxFaultsInVerdict = 200;

bool IsVisibleAscii(std::string_view text, std::size_t max_bytes) {
  const auto visible = [](char c) { return c > ' ' && c <= '~'; };
  return !text.empty() && text.size() <= max_bytes &&
         std::ranges::all_of(text, visible);
}

// Clamps the time of a record to the range of the clock type: a record that was
// not made by this program can contain any value.
WallTime WallTimeFrom(std::int64_t milliseconds) {
  constexpr std::int64_t kYear9999 = 253'402'300'799'000;
  return WallTime(std::chrono::milliseconds(
      std::clamp<std::int64_t>(milliseconds, 0, kYear9999)));
}

std::string DigestBytes(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

// Checkpoints ---------------------------------------------------------------

// Returns a note that adds all items of a checkpoint to the empty state, so
// that a checkpoint passes the same checks as any note.
wire::Note NoteAddingItemsOf(const wire::FoldState& state) {
  wire::Note note;
  for (const wire::ServiceItem& item : state.services) {
    wire::ServiceChange& change = note.services.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item = item;
  }
  for (const wire::RankItem& item : state.ranks) {
    wire::RankChange& change = note.ranks.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item = item;
  }
  for (const wire::RouteItem& item : state.routes) {
    wire::RouteChange& change = note.routes.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item = item;
  }
  return note;
}

bool HasItems(const wire::FoldState& state) {
  return !state.services.empty() || !state.ranks.empty() ||
         !state.routes.empty();
}

bool IsInRange(const wire::Checkpoint& checkpoint) {
  const wire::FoldState& state = checkpoint.state;
  return checkpoint.through_offset >= 0 &&
         checkpoint.through_offset < std::numeric_limits<std::int64_t>::max() &&
         state.release >= 0 && state.digest.size() == Digest().size() &&
         state.judged.size() <= kMaxJudgedPublishes && state.rules >= 1;
}

std::optional<FleetState> FleetStateFrom(const wire::FoldState& state) {
  FleetState empty;
  empty.release = {static_cast<std::uint64_t>(state.release)};
  std::memcpy(empty.digest.data(), state.digest.data(), empty.digest.size());
  if (!HasItems(state)) {
    return empty;
  }
  auto fleet = ApplyNote(NoteAddingItemsOf(state), empty);
  if (!fleet) {
    return std::nullopt;
  }
  return std::move(*fleet);
}

wire::RankItem ToItem(const RankPolicy& rank) {
  wire::RankItem item;
  item.name = rank.name.value;
  item.target_ms = rank.target.count();
  item.worth = rank.worth;
  item.floor_percent = rank.floor_percent;
  return item;
}

wire::RouteItem ToItem(const Route& route) {
  wire::RouteItem item;
  item.name = route.name.value;
  item.prefix = route.prefix;
  item.service_name = route.service.value;
  item.rank = route.rank.value;
  item.idempotent = route.idempotent;
  item.deadline_ms = route.deadline.count();
  return item;
}

}  // namespace

Digest ChainDigest(const Digest& before, std::string_view record) {
  const std::string input = DigestBytes(before) + std::string(record);
  const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  Digest digest{};
  std::memcpy(digest.data(), canonical.digest, digest.size());
  return digest;
}

// Records -------------------------------------------------------------------

Fold::Fold(int max_supported_rules_version)
    : max_rules_version(max_supported_rules_version),
      state(std::make_shared<const FleetState>()) {}

std::optional<Verdict> Fold::Apply(LogOffset offset,
                                   const wire::ReleaseRecord& record) {
  return this->Apply(offset, Encode(record));
}

std::optional<Verdict> Fold::Apply(LogOffset offset, std::string_view bytes) {
  if (offset != this->next || this->needs_upgrade()) {
    return std::nullopt;
  }
  ++this->next.value;
  const auto skipped = [offset](std::string text) {
    Verdict verdict;
    verdict.offset = offset;
    verdict.result = Skipped{std::move(text)};
    return verdict;
  };
  if (bytes.size() > kMaxRecordBytes) {
    return skipped("the record is too large");
  }
  const auto record = Decode<wire::ReleaseRecord>(bytes);
  if (!record) {
    return skipped("the record cannot be decoded");
  }
  if (record->__isset.rule_change) {
    this->rules_version =
        std::max(this->rules_version, record->rule_change.rules);
    return std::nullopt;
  }
  if (record->__isset.checkpoint) {
    return std::nullopt;
  }
  if (!record->__isset.publish) {
    return skipped("the record contains no known kind of content");
  }
  return this->ApplyPublish(offset, record->publish, bytes);
}

// Verdicts ------------------------------------------------------------------

Verdict Fold::ApplyPublish(LogOffset offset,
                           const wire::Publish& publish,
                           std::string_view record) {
  Verdict verdict;
  verdict.offset = offset;
  if (!IsVisibleAscii(publish.publish_id, kMaxPublishIdBytes) ||
      !IsVisibleAscii(publish.operator_name, kMaxOperatorBytes)) {
    verdict.result =
        Skipped{"the publish id or the operator name is not a plain word"};
    return verdict;
  }
  verdict.publish_id = publish.publish_id;
  verdict.operator_name = publish.operator_name;
  verdict.published_at = WallTimeFrom(publish.published_at_ms);
  verdict.result = this->EvaluatePublish(offset, publish, record);
  const bool title_fits = publish.note.title.size() <= kMaxTitleBytes;
  verdict.title = title_fits ? publish.note.title : std::string();
  return verdict;
}

VerdictResult Fold::EvaluatePublish(LogOffset offset,
                                    const wire::Publish& publish,
                                    std::string_view record) {
  if (const auto before = this->FindJudged(publish.publish_id)) {
    return Repeat{{static_cast<std::uint64_t>(before->offset)},
                  {static_cast<std::uint64_t>(before->release)}};
  }
  const std::int64_t release =
      static_cast<std::int64_t>(this->state->release.value);
  const wire::Note& note = publish.note;
  VerdictResult result = Rejected{};
  if (note.base < 0 || note.base > release) {
    result = Rejected{{{{}, "base must be 0 to " + std::to_string(release)}}};
  } else if (release - note.base >
             static_cast<std::int64_t>(kMaxBaseAgeReleases)) {
    result =
        Rejected{{{{}, "base is too old: read the release and try again"}}};
  } else if (auto changed = this->ChangedSince(note); !changed.empty()) {
    result = Conflict{std::move(changed)};
  } else if (auto new_state = ApplyNote(note, *this->state)) {
    result = this->Accept(publish, std::move(*new_state), record);
  } else {
    std::vector<NoteFault>& faults = new_state.error();
    faults.resize(std::min(faults.size(), kMaxFaultsInVerdict));
    result = Rejected{std::move(faults)};
  }
  const auto* accepted = std::get_if<Accepted>(&result);
  this->AddJudged(offset, publish.publish_id,
                  accepted ? accepted->release : ReleaseNumber{0});
  return result;
}

std::optional<wire::JudgedPublish> Fold::FindJudged(
    std::string_view publish_id) const {
  const auto found = std::ranges::find(this->judged, publish_id,
                                       &wire::JudgedPublish::publish_id);
  if (found == this->judged.end()) {
    return std::nullopt;
  }
  return *found;
}

VerdictResult Fold::Accept(const wire::Publish& publish,
                           FleetState changed,
                           std::string_view record) {
  ++changed.release.value;
  changed.digest = ChainDigest(this->state->digest, record);
  for (ItemId& item : ItemsTouchedBy(publish.note)) {
    this->touched[std::move(item)] = changed.release;
  }
  const Accepted accepted{changed.release, changed.digest};
  this->state = std::make_shared<const FleetState>(std::move(changed));
  this->PruneTouchedItems();
  return accepted;
}

std::vector<ChangedItem> Fold::ChangedSince(const wire::Note& note) const {
  std::vector<ChangedItem> changed;
  for (ItemId& item : ItemsReferencedBy(note)) {
    const auto found = this->touched.find(item);
    const bool changed_since_base =
        found != this->touched.end() &&
        found->second.value > static_cast<std::uint64_t>(note.base);
    if (changed_since_base) {
      changed.push_back({std::move(item), found->second});
    }
  }
  return changed;
}

void Fold::AddJudged(LogOffset offset,
                     const std::string& publish_id,
                     ReleaseNumber release) {
  wire::JudgedPublish& entry = this->judged.emplace_back();
  entry.publish_id = publish_id;
  entry.offset = static_cast<std::int64_t>(offset.value);
  entry.release = static_cast<std::int64_t>(release.value);
  if (this->judged.size() > kMaxJudgedPublishes) {
    this->judged.pop_front();
  }
}

// Forgets changes older than kMaxBaseAgeReleases. This happens at each release,
// so that the fold's content depends only on the records.
void Fold::PruneTouchedItems() {
  const std::uint64_t release = this->state->release.value;
  if (release <= kMaxBaseAgeReleases) {
    return;
  }
  std::erase_if(this->touched, [release](const auto& entry) {
    return entry.second.value < release - kMaxBaseAgeReleases;
  });
}

// Checkpoints ---------------------------------------------------------------

wire::Checkpoint Fold::ToCheckpoint() const {
  wire::Checkpoint checkpoint;
  checkpoint.through_offset = static_cast<std::int64_t>(this->next.value) - 1;
  wire::FoldState& out = checkpoint.state;
  out.release = static_cast<std::int64_t>(this->state->release.value);
  out.digest = DigestBytes(this->state->digest);
  out.rules = this->rules_version;
  for (const ServiceName& service : this->state->services) {
    out.services.emplace_back().name = service.value;
  }
  for (const auto& [name, rank] : this->state->ranks) {
    out.ranks.push_back(ToItem(rank));
  }
  for (const auto& [name, route] : this->state->routes) {
    out.routes.push_back(ToItem(route));
  }
  for (const auto& [item, release] : this->touched) {
    wire::Touched& entry = out.touched.emplace_back();
    entry.item = ToText(item);
    entry.release = static_cast<std::int64_t>(release.value);
  }
  out.judged.assign(this->judged.begin(), this->judged.end());
  return checkpoint;
}

AdoptResult Fold::Adopt(const wire::Checkpoint& checkpoint) {
  if (!IsInRange(checkpoint)) {
    return AdoptResult::kInvalid;
  }
  const wire::FoldState& from = checkpoint.state;
  const auto release = static_cast<std::uint64_t>(from.release);
  const LogOffset after{static_cast<std::uint64_t>(checkpoint.through_offset) +
                        1};
  const bool same_release = release == this->state->release.value;
  const bool same_digest = from.digest == DigestBytes(this->state->digest);
  if (same_release && !same_digest) {
    return AdoptResult::kDiverged;
  }
  if (after <= this->next) {
    return release <= this->state->release.value ? AdoptResult::kNotNewer
                                                 : AdoptResult::kDiverged;
  }
  if (release < this->state->release.value) {
    return AdoptResult::kDiverged;
  }
  if (from.rules > this->max_rules_version) {
    return AdoptResult::kUnsupportedRules;
  }
  auto fleet = FleetStateFrom(from);
  if (!fleet) {
    return AdoptResult::kInvalid;
  }
  this->state = std::make_shared<const FleetState>(std::move(*fleet));
  this->rules_version = from.rules;
  this->next = after;
  this->judged.assign(from.judged.begin(), from.judged.end());
  this->touched.clear();
  for (const wire::Touched& entry : from.touched) {
    this->touched[ItemFromText(entry.item)] = {
        static_cast<std::uint64_t>(entry.release)};
  }
  return AdoptResult::kAdopted;
}

}  // namespace tanagerledge
