#include "tanagerledge/account_check.h"

namespace tanagerledge {

AccountVerdict CheckAccount(const MeshConfig& config,
                            const MeshRoute& route,
                            const AccountKey& key,
                            const AccountCheckContext& context) {
  if (!config.has_accounts() || route.is_public || context.nested) {
    return {};
  }
  // No configuration can hold such a key.
  if (key.form == AccountKey::Form::kInvalid) {
    return {nullptr, Reason::kUnknownKey};
  }
  if (context.unproven && key.form == AccountKey::Form::kPresent) {
    return {nullptr, Reason::kConfigUnproven};
  }
  const ClientAccountConfig* account = key.form == AccountKey::Form::kPresent
                                           ? config.AccountWithKey(key.text)
                                           : nullptr;
  if (account == nullptr) {
    const bool may_be_nested =
        context.parent_unknown && key.form == AccountKey::Form::kMissing;
    return {nullptr, context.behind || may_be_nested ? Reason::kNodeNotReady
                                                     : Reason::kUnknownKey};
  }
  return {account, Reason::kNone};
}

int PriorityOf(const MeshRoute& route, const ClientAccountConfig* account) {
  return account == nullptr ? route.priority
                            : account->priority.value_or(route.priority);
}

}  // namespace tanagerledge
