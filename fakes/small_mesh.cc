#include "fakes/small_mesh.h"

#include <utility>

#include "fakes/reserved_address.h"
#include "platform/store_client.h"
#include "src/adapters/codec.h"
#include "src/adapters/http_client.h"
#include "src/adapters/net.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRequestTimeout{5000};
constexpr milliseconds kPollInterval{20};
constexpr std::chrono::seconds kServedTimeout{15};
constexpr std::string_view kAnyPort = "127.0.0.1:0";

}  // namespace

SmallMesh::SmallMesh() : log_store(this->fakes_loop) {
  this->log_address =
      "127.0.0.1:" + std::to_string(this->log_store.Listen(0).value());
  this->fakes_loop.Start();
}

SmallMesh::~SmallMesh() {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->ShutDownNode(index);
  }
  this->fakes_loop.Spawn([this] {
    for (const auto& backend : this->backends) {
      if (backend) {
        backend->Close();
      }
    }
    this->log_store.Close();
    this->fakes_loop.Stop();
  });
  this->fakes_loop.Join();
}

std::string SmallMesh::AddNode(const ServiceName& service,
                               FakeBackendConfig backend) {
  const Settings settings = this->NextSettings();
  this->nodes.push_back(
      std::make_unique<Node>(settings, platform::ConnectStore));
  this->backends.emplace_back();
  this->admin_addresses.push_back(settings.admin_address);
  this->backend_addresses.emplace_back();
  if (!this->nodes.back()->Start()) {
    return {};
  }
  if (!service.value.empty()) {
    backend.service = service;
    backend.address = kAnyPort;
    backend.admin_address = settings.admin_address;
    this->backends.back() =
        std::make_unique<FakeBackend>(this->fakes_loop, backend);
    this->backend_addresses.back() =
        this->backends.back()->Start().value_or(std::string());
  }
  return settings.front_address;
}

Settings SmallMesh::NextSettings() {
  Settings settings;
  settings.fleet = "small";
  settings.zone = {"zone"};
  settings.workers = 1;
  settings.address = {ReserveAddress()};
  settings.front_address = ReserveAddress();
  settings.admin_address = ReserveAddress();
  settings.log_address = this->log_address;
  if (this->seed_node.value.empty()) {
    this->seed_node = settings.address;
  }
  settings.seeds = {this->seed_node};
  settings.drain_timeout = milliseconds(2000);
  return settings;
}

void SmallMesh::Publish(std::string_view note) {
  this->RunInFiber([&](IoLoop& loop) {
    const auto store = platform::ConnectStore(loop, this->log_address);
    wire::Publish publish;
    publish.publish_id = "small-mesh";
    publish.operator_name = "small-mesh";
    publish.note = ParseNote(note).value().note;
    wire::ReleaseRecord record;
    record.__set_publish(publish);
    static_cast<void>(
        store->Append(kReleaseStream, Encode(record), kRequestTimeout));
    store->Close();
  });
}

std::optional<HttpResponse> SmallMesh::Send(const std::string& address,
                                            const HttpRequest& request) {
  std::optional<HttpResponse> response;
  this->RunInFiber([&](IoLoop& loop) {
    HttpClient client(loop, ParseAddress(address).value());
    if (auto answer = client.Send(request, kRequestTimeout)) {
      response = std::move(*answer);
    }
    client.Close();
  });
  return response;
}

bool SmallMesh::AwaitServed(const std::string& front,
                            const std::string& target) {
  bool served = false;
  this->RunInFiber([&](IoLoop& loop) {
    const Instant deadline = std::chrono::steady_clock::now() + kServedTimeout;
    HttpClient client(loop, ParseAddress(front).value());
    HttpRequest request;
    request.target = target;
    while (!served && std::chrono::steady_clock::now() < deadline) {
      const auto answer = client.Send(request, kRequestTimeout);
      served = answer && answer->status == 200;
      loop.SleepFor(kPollInterval);
    }
    client.Close();
  });
  return served;
}

void SmallMesh::ShutDownNode(std::size_t index) {
  if (this->nodes[index]) {
    this->nodes[index]->Shutdown();
    this->nodes[index].reset();
  }
}

// Runs `work` in a fiber of a new loop and waits for its end.
void SmallMesh::RunInFiber(const std::function<void(IoLoop&)>& work) {
  IoLoop loop;
  loop.Spawn([&] {
    work(loop);
    loop.Stop();
  });
  loop.Run();
}

}  // namespace tanagerledge
