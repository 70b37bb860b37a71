#pragma once

#include "cuminfield/process/log/StateMachine.h"
#include "cuminfield/process/state/ClaimStore.h"
#include "cuminfield/process/state/DocumentStore.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/LeaseStore.h"

#include <string>
#include <string_view>

namespace cuminfield::process::state {

/// What a group keeps besides its leases.
enum class GroupKind
{
  DataCentre, ///< Claims of the data centre's workspaces.
  Documents,  ///< Environment documents and version moves.
};

/// The state machine of one group: a clock, leases, and claims or documents. Commands are
/// proto::Command, answers proto::Answer, queries proto::Query and proto::QueryAnswer. A command
/// that is malformed or not for this kind of group changes nothing and is answered `refused`.
class GroupStateMachine : public log::StateMachine
{
public:
  /// Settings of the stores; the same on every voter for the life of the group.
  struct Settings
  {
    GroupKind kind = GroupKind::DataCentre;
    ClaimStore::Settings claims;
    LeaseStore::Settings leases;
    DocumentStore::Settings documents;
  };

  explicit GroupStateMachine(const Settings& aSettings);

  std::string Apply(core::LogIndex aIndex, std::string_view aCommand) override;
  std::string Query(std::string_view aQuery) const override;
  std::string Snapshot() const override;
  void Restore(std::string_view aSnapshot) override;

  /// Apply() and Query() without encoding.
  proto::Answer Decide(const proto::Command& aCommand);
  proto::QueryAnswer Look(const proto::Query& aQuery) const;

private:
  bool Serves(proto::Command::KindCase aKind) const;
  void DecideClaim(const proto::Command& aCommand, proto::ClaimAnswer& aAnswer);
  void DecideLease(const proto::Command& aCommand, proto::LeaseAnswer& aAnswer);

  Settings mSettings;
  GroupClock mClock;
  ClaimStore mClaims;
  LeaseStore mLeases;
  DocumentStore mDocuments;
};

} // namespace cuminfield::process::state
