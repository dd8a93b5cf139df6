// What a sidecar asks of the platform that it runs on: names and formats, each
// turned into the project's own types. Implementations translate and decide
// nothing; platform/ has the one for the users' platform.

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
#include "tanagerledge/backend_life.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/outcome.h"

namespace tanagerledge {

// A caller's request, as far as routing needs it.
struct CallerRequest {
  std::string attempt_id;  // Unique for each attempt of a client.
  std::string host;
  // How long the caller will wait; nothing when it does not say.
  std::optional<std::chrono::milliseconds> caller_timeout;
  // The attempt that a backend server ran when it made this request; empty for
  // a request of a client. Good for accounts and order, not for rules.
  std::string parent_id;
  std::vector<wire::Header> headers;  // To be passed on.
};

// What a backend server's answer to an attempt is worth.
enum class AnswerKind {
  kAnswered,  // The backend server ran the request; the answer is to be passed
              // on.
  kNotRun,    // The backend server says that it did not run the request.
  kWrongInstance,  // Another instance has the address; it did not run it.
  kInvalid,        // Not a whole answer to this attempt: it may have run.
};

// A backend server takes its leave.
struct Deregistration {
  std::string instance;
};

using BackendMessage = std::variant<Heartbeat, Deregistration>;

// The answer to a caller that gets none from a backend server.
struct LocalReply {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // With a refusal: when to come back. Zero: nothing is said.
  std::chrono::microseconds room_in{0};
};

class PlatformPort {
 public:
  virtual ~PlatformPort() = default;

  // Requests -----------------------------------------------------------------

  virtual tl::expected<CallerRequest, std::string> ParseCallerRequest(
      const HttpRequest& request) const = 0;

  // The request as the backend server expects it; `left` is the time that it
  // has.
  virtual HttpRequest ToBackendRequest(
      const wire::CallRequest& call,
      const std::string& instance,
      std::chrono::milliseconds left) const = 0;

  // Whether an answer on a backend server's connection is provably to this
  // attempt.
  virtual bool IsAnswerTo(const HttpResponse& answer,
                          const std::string& attempt_id) const = 0;
  virtual AnswerKind ClassifyAnswer(const HttpResponse& answer,
                                    const std::string& attempt_id) const = 0;

  // A field of an answer that only repeats the attempt's id; and that field. It
  // does not travel between nodes: the entry puts it back.
  virtual bool IsEchoHeader(std::string_view field_name) const = 0;
  virtual HttpHeader EchoHeader(const std::string& attempt_id) const = 0;

  virtual HttpResponse ToCallerResponse(const LocalReply& answer) const = 0;

  // Backend servers -----------------------------------------------------------

  // Reads a heartbeat or goodbye; the error says what is wrong with it.
  virtual tl::expected<BackendMessage, std::string> ParseBackendMessage(
      const HttpRequest& request) const = 0;

  // The instance that answers a health check, if it says that it is well.
  virtual std::optional<std::string> HealthyInstance(
      const HttpResponse& answer) const = 0;

  // Configuration ------------------------------------------------------------

  // The store's stream and key that hold the operator's configuration.
  virtual std::string_view ConfigStream() const = 0;
  virtual std::string_view ConfigKey() const = 0;
  virtual tl::expected<std::shared_ptr<const MeshConfig>, std::string>
  ParseConfig(std::string_view content) const = 0;

  // The store's stream by which nodes find one another: the key is the node's
  // address, the value is not used.
  virtual std::string_view NodeStream() const = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_PLATFORM_PORT_H_
