#pragma once

#include "cuminfield/process/log/StateMachine.h"
#include "cuminfield/process/state/ClaimStore.h"
#include "cuminfield/process/state/DocumentStore.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/LeaseStore.h"
#include "cuminfield/process/state/RegisterStore.h"

#include <string>
#include <string_view>

namespace cuminfield::process::state {

/// What a group stores in addition to its leases and registers.
enum class GroupKind
{
  DataCentre, ///< Claims of the data centre's workspaces.
  Documents,  ///< Environment documents and version moves.
};

/// State machine of one group: a clock, leases, registers, and either claims or documents. Commands
/// are encoded as proto::Command and their answers as proto::Answer; queries use proto::Query and
/// proto::QueryAnswer. A command that is malformed or meant for another kind of group changes
/// nothing, and its answer is `refused`.
class GroupStateMachine : public log::StateMachine
{
public:
  /// Settings of the stores. Identical on all voters for the lifetime of the group.
  struct Settings
  {
    GroupKind kind = GroupKind::DataCentre;
    ClaimStore::Settings claims;
    LeaseStore::Settings leases;
    DocumentStore::Settings documents;
    RegisterStore::Settings registers;
  };

  explicit GroupStateMachine(const Settings& aSettings);

  std::string Apply(core::LogIndex aIndex, std::string_view aCommand) override;
  std::string Query(std::string_view aQuery) const override;
  std::string Snapshot() const override;
  void Restore(std::string_view aSnapshot) override;

  /// Same as Apply() and Query() but without encoding.
  proto::Answer ExecuteCommand(const proto::Command& aCommand);
  proto::QueryAnswer ExecuteQuery(const proto::Query& aQuery) const;

private:
  bool IsSupported(proto::Command::KindCase aKind) const;
  void ExecuteClaimCommand(const proto::Command& aCommand, proto::ClaimAnswer& aAnswer);
  void ExecuteLeaseCommand(const proto::Command& aCommand, proto::LeaseAnswer& aAnswer);

  Settings mSettings;
  GroupClock mClock;
  ClaimStore mClaims;
  LeaseStore mLeases;
  DocumentStore mDocuments;
  RegisterStore mRegisters;
};

} // namespace cuminfield::process::state
