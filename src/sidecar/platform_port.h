// Interface to the platform that a sidecar runs on. It maps the platform's
// names and formats to the project's own types. Implementations only translate
// and make no decisions; platform/ has the one for the users' platform.

#ifndef TANAGERLEDGE_SRC_SIDECAR_PLATFORM_PORT_H_
#define TANAGERLEDGE_SRC_SIDECAR_PLATFORM_PORT_H_

#include <peer_types.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "src/adapters/http_message.h"
#include "tanagerledge/account_check.h"
#include "tanagerledge/backend_life.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/outcome.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/rollout.h"

namespace tanagerledge {

// The parts of a caller's request that routing needs.
struct CallerRequest {
  std::string attempt_id;  // Unique for each attempt of a client.
  std::string host;
  // How long the caller waits for an answer; empty if the request has no limit.
  std::optional<std::chrono::milliseconds> caller_timeout;
  // The attempt that a backend server was running when it made this request;
  // empty for a request of a client. A client may send any id: rules apply to
  // the request as to a client's unless that attempt runs beside this node.
  std::string parent_id;
  AccountKey account_key;             // Never forwarded and never logged.
  std::vector<wire::Header> headers;  // Forwarded to the backend server.
};

// What a backend server's answer says about the attempt.
enum class AnswerKind {
  kAnswered,  // The backend server ran the request; the answer is forwarded.
  kNotRun,    // The backend server says that it did not run the request.
  kWrongInstance,  // Another instance has the address; it did not run it.
  kInvalid,        // Not a complete answer to this attempt, which may have run.
};

// A backend server announces that it shuts down.
struct Deregistration {
  std::string instance;
};

using BackendMessage = std::variant<Heartbeat, Deregistration>;

// An answer that the sidecar produces itself because no backend server gave
// one.
struct LocalReply {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // For a rejected request: when the caller should retry. Zero: not specified.
  std::chrono::microseconds room_in{0};
};

class PlatformPort {
 public:
  virtual ~PlatformPort() = default;

  // Requests -----------------------------------------------------------------

  virtual tl::expected<CallerRequest, std::string> ParseCallerRequest(
      const HttpRequest& request) const = 0;

  // The request in the form that the backend server expects; `left` is the time
  // until its deadline. It names the call's client account, and no other. Its
  // body stays empty: the call's own is sent, without a copy.
  virtual HttpRequest ToBackendRequest(
      const wire::CallRequest& call,
      const std::string& instance,
      std::chrono::milliseconds left) const = 0;

  // Whether an answer on a backend server's connection provably belongs to this
  // attempt.
  virtual bool IsAnswerTo(const HttpResponse& answer,
                          const std::string& attempt_id) const = 0;
  virtual AnswerKind ClassifyAnswer(const HttpResponse& answer,
                                    const std::string& attempt_id) const = 0;

  // Whether a header field of an answer only repeats the attempt's id. Such a
  // field is not sent between nodes: the caller's node adds it back with
  // EchoHeader.
  virtual bool IsEchoHeader(std::string_view field_name) const = 0;
  virtual HttpHeader EchoHeader(const std::string& attempt_id) const = 0;

  virtual HttpResponse ToCallerResponse(const LocalReply& answer) const = 0;

  // Backend servers -----------------------------------------------------------

  // Parses a heartbeat or a deregistration; the error says what is wrong with
  // it.
  virtual tl::expected<BackendMessage, std::string> ParseBackendMessage(
      const HttpRequest& request) const = 0;

  // The instance that answered a health check, if it reports that it is
  // healthy.
  virtual std::optional<std::string> HealthyInstance(
      const HttpResponse& answer) const = 0;

  // Configuration ------------------------------------------------------------

  // The stream and key of the store that hold the operator's configuration.
  virtual std::string_view ConfigStream() const = 0;
  virtual std::string_view ConfigKey() const = 0;
  virtual tl::expected<std::shared_ptr<const MeshConfig>, std::string>
  ParseConfig(std::string_view content) const = 0;

  // Roll-outs ----------------------------------------------------------------

  // Whether the key of a record in ConfigStream() names an order.
  virtual bool IsRolloutKey(std::string_view key) const = 0;
  // Parses an order; its offset is that of the record.
  virtual tl::expected<RolloutOrder, std::string> ParseRolloutOrder(
      const KeyedRecord& record) const = 0;
  // The stream and key that hold the status of a service's roll-out.
  virtual std::string_view RolloutStatusStream() const = 0;
  virtual std::string RolloutStatusKey(const ServiceName& service) const = 0;
  virtual tl::expected<RolloutStatus, std::string> ParseRolloutStatus(
      std::string_view content) const = 0;
  virtual std::string FormatRolloutStatus(
      const RolloutStatus& status) const = 0;

  // Nodes --------------------------------------------------------------------

  // The stream of the store through which nodes discover one another. The key
  // is the node's address; the value has no meaning for the platform.
  virtual std::string_view NodeStream() const = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_PLATFORM_PORT_H_
