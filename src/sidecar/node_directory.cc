#include "src/sidecar/node_directory.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{1500};
// Delay between retries while the store does not answer. Each retry costs a
// read and a write per node, out of the 400 writes and 2,000 reads per second
// that all nodes share.
constexpr milliseconds kRetryInterval{1000};
constexpr milliseconds kPollInterval{50};

// Another writer may have left an entry that no node writes.
bool IsUsable(const std::string& key, const wire::NodeRecord& record) {
  constexpr std::int32_t kMaxSlots = 100'000;
  const auto is_address = [](const std::string& text) {
    const auto address = ParseAddress(text);
    return address && address->port() != 0;
  };
  return is_address(key) &&
         (record.address.empty() || is_address(record.address)) &&
         record.slots >= 0 && record.slots <= kMaxSlots &&
         record.sequence >= 0 && record.born_ms >= 0 && record.state >= 0 &&
         record.state <= static_cast<std::int32_t>(EndpointState::kGone);
}

}  // namespace

NodeDirectory::NodeDirectory(IoLoop& io_loop,
                             KeyedLogPort& store_port,
                             EventLog& event_log,
                             StoreCalls& store_calls,
                             std::string_view node_stream,
                             NodeId own_node,
                             Zone own_zone,
                             Sink list_sink)
    : loop(io_loop),
      store(store_port),
      events(event_log),
      calls(store_calls),
      stream(node_stream),
      self(std::move(own_node)),
      sink(std::move(list_sink)) {
  this->own_record.zone = own_zone.value;
  this->own_record.state = static_cast<std::int32_t>(EndpointState::kGone);
}

void NodeDirectory::Start() {
  this->loop.Spawn([this] { this->Run(); });
}

// The first read returns what an earlier start wrote about this node, so that
// its record is written only after it.
void NodeDirectory::Run() {
  while (!this->ReadList()) {
    if (!this->loop.SleepFor(kRetryInterval)) {
      return;
    }
  }
  this->schedule.OnChanged(this->own_record, Now());
  while (this->loop.SleepFor(kPollInterval)) {
    this->UpdateEra();
    if (this->schedule.IsDue(Now())) {
      this->WriteOwn();
    }
    if (std::exchange(this->read_requested, false) && !this->ReadList()) {
      this->read_requested = true;
      this->loop.SleepFor(kRetryInterval);
    }
  }
}

// The record is written without reading the list first: no other node writes
// it, and this node has all that it contained.
void NodeDirectory::UpdateEra() {
  const StoreEra newest = this->store.era().value_or(StoreEra{});
  if (newest > this->era) {
    this->era = newest;
    this->schedule.OnStoreLost(this->own_record, Now());
  }
}

void NodeDirectory::OnReportedEra(StoreEra reported) {
  if (reported > std::max(this->reported_era, this->era)) {
    this->reported_era = reported;
    this->writes_for_report = 0;
    if (this->list_read) {
      this->schedule.OnStoreLost(this->own_record, Now());
    }
  }
}

bool NodeDirectory::ReadList() {
  ++this->calls.list_reads;
  const auto page = this->store.ReadNewest(this->stream, kStoreTimeout);
  if (!page) {
    this->events.Write("node list not read", {{"error", page.error().text}});
    return false;
  }
  if (!this->list_read) {
    this->era = page->era;
  }
  Records records;
  std::ranges::for_each(page->records, [&](const KeyedRecord& entry) {
    auto record = Decode<wire::NodeRecord>(entry.value);
    if (!record || !IsUsable(entry.key, *record)) {
      this->events.Write("node record unreadable", {{"key", entry.key}});
      return;
    }
    records.emplace(NodeId{entry.key}, std::move(*record));
  });
  // Keeps the record of the previous start until this one knows its backend
  // server.
  const auto previous = records.find(this->self);
  if (previous != records.end() && !this->list_read) {
    this->schedule.OnStored(previous->second);
    if (!this->own_record_set) {
      this->own_record = previous->second;
    }
    this->own_record.__set_quarantined(previous->second.quarantined);
  }
  this->list_read = true;
  this->sink(records);
  return true;
}

void NodeDirectory::RequestListing() {
  if (this->list_read) {
    this->schedule.OnListingNeeded(Now());
    this->read_requested = true;
  }
}

void NodeDirectory::WriteOwn() {
  const wire::NodeRecord written = this->own_record;
  ++this->calls.record_writes;
  const auto put = this->store.Put(this->stream, this->self.value,
                                   Encode(written), kStoreTimeout);
  if (!put) {
    this->events.Write("node record not written",
                       {{"error", put.error().text}});
    this->schedule.OnWriteFailed(Now());
    return;
  }
  // The response may have been under way when the other node saw the new era.
  constexpr int kMaxWritesForReport = 3;
  this->era = this->store.era().value_or(StoreEra{});
  if (this->era < this->reported_era &&
      ++this->writes_for_report < kMaxWritesForReport) {
    this->schedule.OnWriteFailed(Now());
    return;
  }
  this->schedule.OnStored(written);
  this->schedule.OnChanged(this->own_record, Now());
}

void NodeDirectory::SetQuarantined(
    std::vector<wire::QuarantineRecord> quarantined) {
  constexpr std::size_t kMaxRecorded = 32;
  std::ranges::sort(quarantined, std::greater(),
                    &wire::QuarantineRecord::until_unix_ms);
  if (quarantined.size() > kMaxRecorded) {
    quarantined.resize(kMaxRecorded);
  }
  std::ranges::sort(quarantined, {}, &wire::QuarantineRecord::fingerprint);
  auto& recorded = this->own_record.quarantined;
  if (std::ranges::equal(recorded, quarantined, {},
                         &wire::QuarantineRecord::fingerprint,
                         &wire::QuarantineRecord::fingerprint)) {
    return;
  }
  recorded = std::move(quarantined);
  this->own_record.__isset.quarantined = !recorded.empty();
  if (this->list_read) {
    this->schedule.OnChanged(this->own_record, Now());
  }
}

void NodeDirectory::SetBackend(const Heartbeat& backend, EndpointState state) {
  this->own_record.service_name = backend.service.value;
  this->own_record.instance = backend.instance;
  this->own_record.born_ms = backend.born_ms;
  this->own_record.sequence = static_cast<std::int64_t>(backend.sequence);
  this->own_record.address = backend.address;
  this->own_record.slots = backend.slots;
  this->own_record.state = static_cast<std::int32_t>(state);
  this->own_record_set = true;
  if (this->list_read) {
    this->schedule.OnChanged(this->own_record, Now());
  }
}

}  // namespace tanagerledge
