// Small helpers around the messages of a call.

#ifndef TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_
#define TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_

#include <peer_types.h>

#include <chrono>
#include <string>
#include <string_view>

#include "src/adapters/http_message.h"
#include "tanagerledge/load.h"
#include "tanagerledge/outcome.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Replies -------------------------------------------------------------------

wire::CallReply MakeReply(Outcome outcome, Reason reason, std::string detail);

Outcome OutcomeOf(const wire::CallReply& reply);
Reason ReasonOf(const wire::CallReply& reply);

// How the call ended, for the choice of endpoint.
FinishKind FinishKindOf(const wire::CallReply& reply);

// The answer to the caller, with its outcome, reason and release.
HttpResponse ToHttp(const wire::CallReply& reply,
                    const RankName& rank,
                    ReleaseNumber release);

// Load ----------------------------------------------------------------------

wire::LoadReport ToWire(const LoadReport& load);
LoadReport FromWire(const wire::LoadReport& load);

// Headers -------------------------------------------------------------------

// True for fields that go end to end: neither ours nor those of one connection.
bool IsEndToEnd(std::string_view header_name);

// A whole number from a header; `fallback` when it is absent, no number, or
// outside 0 to `most`.
std::int64_t ParseNumberOr(std::string_view text,
                           std::int64_t fallback,
                           std::int64_t most);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_
