#include "src/sidecar/node_directory.h"

#include <algorithm>
#include <utility>

#include "src/adapters/codec.h"
#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{1500};
// Between tries while the store does not answer: two calls for each node each
// time, of the 400 writes and 2,000 reads a second that all nodes share.
constexpr milliseconds kRetry{1000};
// Changes of a backend server are gathered this long before they are written.
constexpr milliseconds kGather{100};

}  // namespace

NodeDirectory::NodeDirectory(IoLoop& io_loop,
                             KeyedLogPort& store_port,
                             EventLog& event_log,
                             std::string_view node_stream,
                             NodeId own_node,
                             Zone own_zone,
                             Sink list_sink)
    : loop(io_loop),
      store(store_port),
      events(event_log),
      stream(node_stream),
      self(std::move(own_node)),
      sink(std::move(list_sink)) {
  this->own.zone = own_zone.value;
  this->own.state = static_cast<std::int32_t>(EndpointState::kGone);
}

void NodeDirectory::Start() {
  this->loop.Spawn([this] { this->Run(); });
}

// Reads, writes and reads again: the first read brings back what the list says
// of this node, and of two nodes that start at once at least one sees the other
// in its second.
void NodeDirectory::Run() {
  while (!this->ReadList()) {
    if (!this->loop.SleepFor(kRetry)) {
      return;
    }
  }
  this->own_changed = true;
  bool read_after_write = false;
  do {
    if (this->own_changed) {
      this->own_changed = false;
      if (!this->WriteOwn()) {
        this->own_changed = true;
        this->loop.SleepFor(kRetry);
        continue;
      }
    }
    if (!read_after_write) {
      read_after_write = this->ReadList();
    }
  } while (this->loop.SleepFor(read_after_write ? kGather : kRetry));
}

bool NodeDirectory::ReadList() {
  const auto page = this->store.ReadNewest(this->stream, kStoreTimeout);
  if (!page) {
    this->events.Write("node list not read", {{"error", page.error().text}});
    return false;
  }
  Records records;
  std::ranges::for_each(page->records, [&](const KeyedRecord& entry) {
    auto record = Decode<wire::NodeRecord>(entry.value);
    if (!record || !ParseAddress(entry.key)) {
      this->events.Write("node record unreadable", {{"key", entry.key}});
      return;
    }
    records.emplace(NodeId{entry.key}, std::move(*record));
  });
  // Until this start knows its backend server, what the last one wrote stands.
  const auto before = records.find(this->self);
  if (!this->own_known && before != records.end()) {
    this->own = before->second;
  }
  this->sink(records);
  return true;
}

bool NodeDirectory::WriteOwn() {
  const auto put = this->store.Put(this->stream, this->self.value,
                                   Encode(this->own), kStoreTimeout);
  if (!put) {
    this->events.Write("node record not written",
                       {{"error", put.error().text}});
  }
  return put.has_value();
}

void NodeDirectory::Tell(const Heartbeat& backend, EndpointState state) {
  this->own.service_name = backend.service.value;
  this->own.instance = backend.instance;
  this->own.born_ms = backend.born_ms;
  this->own.sequence = static_cast<std::int64_t>(backend.sequence);
  this->own.address = backend.address;
  this->own.slots = backend.slots;
  this->own.state = static_cast<std::int32_t>(state);
  this->own_known = true;
  this->own_changed = true;
}

}  // namespace tanagerledge
