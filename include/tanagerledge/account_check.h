// Decides which client account a request belongs to, or why it is refused.
//
// The key of a request is used here only. Everything behind this decision knows
// the name of the account: the key is a secret of the client.
//
// The functions perform no I/O and read no clock.

#ifndef TANAGERLEDGE_ACCOUNT_CHECK_H_
#define TANAGERLEDGE_ACCOUNT_CHECK_H_

#include <string>

#include "tanagerledge/mesh_config.h"
#include "tanagerledge/outcome.h"

namespace tanagerledge {

// The key of a client account as a request carries it.
struct AccountKey {
  enum class Form {
    kMissing,
    kInvalid,  // Empty, too long, or given more than once.
    kPresent,
  };

  Form form = Form::kMissing;
  std::string text;  // With kPresent only.
};

struct AccountCheckContext {
  // Made by a request that is running at the backend server beside this node,
  // which was admitted with a key.
  bool nested = false;
  // Its attempt id names another request as its parent, which is not running
  // here. The parent may have been running before this node restarted.
  bool parent_unknown = false;
  // Another node is known to have a newer configuration, which may hold the
  // key.
  bool behind = false;
  // The configuration is not proven to be the newest; see ConfigProof. The key
  // may have been withdrawn.
  bool unproven = false;
};

struct AccountVerdict {
  // Null without an account: it is nested, its route is public, or the
  // configuration has no accounts.
  const ClientAccountConfig* account = nullptr;
  Reason refusal = Reason::kNone;  // kNone: the request is admitted.
};

// `route` belongs to `config`, as does the account that is returned.
AccountVerdict CheckAccount(const MeshConfig& config,
                            const MeshRoute& route,
                            const AccountKey& key,
                            const AccountCheckContext& context);

// The priority of a request: that of the account comes before the route's.
int PriorityOf(const MeshRoute& route, const ClientAccountConfig* account);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ACCOUNT_CHECK_H_
