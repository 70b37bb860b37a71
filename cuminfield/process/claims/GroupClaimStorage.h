#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/Group.h"
#include "cuminfield/request/claims/ClaimStorage.h"

#include <map>

namespace cuminfield::process::state::proto {
class Command;
} // namespace cuminfield::process::state::proto

namespace cuminfield::process::claims {

/// Settings of the claim storage.
struct GroupClaimStorageSettings
{
  /// Timeout of a claim operation; longer than the election of a new leader.
  core::Duration operationTimeout = std::chrono::seconds(4);
};

/// Stores each claim in the replicated group of its home data centre.
class GroupClaimStorage : public request::claims::ClaimStorage
{
public:
  struct Options
  {
    GroupClaimStorageSettings settings{};
    core::HostId host;
    core::TimerService& timers;
    std::map<core::DataCentreId, log::Group*> groups; ///< Not owned.
  };

  explicit GroupClaimStorage(Options aOptions);

  void Claim(const request::claims::ClaimKey& aKey, std::uint64_t aDigest,
             const core::RequestId& aRequest, Callback aDone) override;
  void Dispatch(const request::claims::ClaimKey& aKey, const core::RequestId& aRequest,
                std::uint64_t aAttempt, const request::claims::ClaimTarget& aTarget,
                Callback aDone) override;
  void Release(const request::claims::ClaimKey& aKey, const core::RequestId& aRequest,
               std::uint64_t aAttempt, Callback aDone) override;
  void Complete(const request::claims::ClaimKey& aKey, const core::RequestId& aRequest,
                std::uint64_t aAttempt, const request::claims::ClaimOutcome& aOutcome,
                Callback aDone) override;
  void LookUp(const request::claims::ClaimKey& aKey, Callback aDone) override;

private:
  log::Group* FindGroup(const core::DataCentreId& aHome) const;
  void FailAsync(const core::DataCentreId& aHome, Callback aDone);
  void Propose(const request::claims::ClaimKey& aKey, state::proto::Command aCommand,
               Callback aDone);

  Options mOptions;
  std::vector<core::TimerHandle> mFailureTimers;
};

} // namespace cuminfield::process::claims
