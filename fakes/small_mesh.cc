#include "fakes/small_mesh.h"

#include <utility>

#include "platform/store_client.h"
#include "src/adapters/codec.h"
#include "src/adapters/http_client.h"
#include "src/adapters/net.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr milliseconds kPollPause{20};
constexpr std::chrono::seconds kPatience{15};
constexpr std::string_view kAnyPort = "127.0.0.1:0";

// A port that was free a moment ago.
std::string FreeAddress() {
  boost::asio::io_context io;
  const auto any = ParseAddress(kAnyPort).value();
  return FormatAddress(
      boost::asio::ip::tcp::acceptor(io, any).local_endpoint());
}

}  // namespace

SmallMesh::SmallMesh() : log_store(this->stand_ins) {
  this->log_address =
      "127.0.0.1:" + std::to_string(this->log_store.Listen(0).value());
  this->stand_ins.Start();
}

SmallMesh::~SmallMesh() {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->ShutDownNode(index);
  }
  this->stand_ins.Spawn([this] {
    for (const auto& backend : this->backends) {
      if (backend) {
        backend->Close();
      }
    }
    this->log_store.Close();
    this->stand_ins.Stop();
  });
  this->stand_ins.Join();
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
        std::make_unique<FakeBackend>(this->stand_ins, backend);
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
  settings.address = {FreeAddress()};
  settings.front_address = FreeAddress();
  settings.admin_address = FreeAddress();
  settings.log_address = this->log_address;
  if (this->seed.value.empty()) {
    this->seed = settings.address;
  }
  settings.seeds = {this->seed};
  settings.drain_timeout = milliseconds(2000);
  return settings;
}

void SmallMesh::Publish(std::string_view note) {
  this->InFiber([&](IoLoop& loop) {
    const auto store = platform::ConnectStore(loop, this->log_address);
    wire::Publish publish;
    publish.publish_id = "small-mesh";
    publish.operator_name = "small-mesh";
    publish.note = ParseNote(note).value().note;
    wire::ReleaseRecord record;
    record.__set_publish(publish);
    static_cast<void>(store->Append(kReleaseStream, Encode(record), kTimeout));
    store->Close();
  });
}

std::optional<HttpResponse> SmallMesh::Send(const std::string& address,
                                            const HttpRequest& request) {
  std::optional<HttpResponse> response;
  this->InFiber([&](IoLoop& loop) {
    HttpClient client(loop, ParseAddress(address).value());
    if (auto answer = client.Send(request, kTimeout)) {
      response = std::move(*answer);
    }
    client.Close();
  });
  return response;
}

bool SmallMesh::AwaitServed(const std::string& front,
                            const std::string& target) {
  bool served = false;
  this->InFiber([&](IoLoop& loop) {
    const Instant until = std::chrono::steady_clock::now() + kPatience;
    HttpClient client(loop, ParseAddress(front).value());
    HttpRequest request;
    request.target = target;
    while (!served && std::chrono::steady_clock::now() < until) {
      const auto answer = client.Send(request, kTimeout);
      served = answer && answer->status == 200;
      loop.SleepFor(kPollPause);
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

// Runs work in a fiber of a loop of its own and waits for it.
void SmallMesh::InFiber(const std::function<void(IoLoop&)>& work) {
  IoLoop loop;
  loop.Spawn([&] {
    work(loop);
    loop.Stop();
  });
  loop.Run();
}

}  // namespace tanagerledge
