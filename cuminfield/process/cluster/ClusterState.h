#pragma once

#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/process/log/StateMachine.h"
#include "cuminfield/request/quarantine/CrashAttribution.h"

#include <sigc++/sigc++.h>

#include <map>
#include <string>
#include <string_view>

namespace cuminfield::process::cluster {

/// Replicated state of a cluster: the operator's document with the highest number, the version of
/// each service, the moves between versions, the upstreams that announced that they leave, the
/// parts of prompts that crash upstreams, and the data centres that are evacuated.
/// Commands are proto::Command; the replies to commands and queries are proto::QueryAnswer.
class ClusterState : public log::StateMachine
{
public:
  std::string Apply(core::LogIndex aIndex, std::string_view aCommand) override;
  std::string Query(std::string_view aQuery) const override;
  std::string Snapshot() const override;
  void Restore(std::string_view aSnapshot) override;

  const proto::Document& Document() const { return mDocument; }
  const std::map<std::string, proto::Move>& Moves() const { return mMoves; }
  const std::map<std::string, std::string>& Versions() const { return mVersions; }
  const std::map<std::string, proto::Leave>& Leaves() const { return mLeaves; }

  /// By data centre; those that have ended, too.
  const std::map<std::string, proto::Evacuation>& Evacuations() const { return mEvacuations; }

  /// The upstreams in the registry that a leader stored last.
  const proto::KnownUpstreams& KnownUpstreams() const { return mKnownUpstreams; }

  /// The quota usage that a leader recorded last.
  const proto::QuotaRecord& QuotaRecord() const { return mQuotaRecord; }

  /// Log index of the last command that changed moves, versions or evacuations.
  std::uint64_t LastChangeIndex() const { return mLastChangeIndex; }

  const request::quarantine::CrashAttribution& Crashes() const { return mCrashes; }

  /// The quarantine for hosts that have an older one.
  proto::Quarantine Quarantine() const;

  /// Log index of the last command that changed suspects or quarantines.
  std::uint64_t QuarantineRevision() const { return mQuarantineRevision; }

  /// Emitted when suspects or quarantines have changed.
  sigc::signal<void()>& OnQuarantineChanged() { return mOnQuarantineChanged; }

private:
  void ApplyDocument(const proto::Document& aDocument);
  void ApplyMove(std::uint64_t aIndex, const proto::Move& aMove);
  void ApplySettleMove(std::uint64_t aIndex, const proto::SettleMove& aSettle);
  void ApplyLeave(const proto::Leave& aLeave);
  void ApplyEvacuation(std::uint64_t aIndex, const proto::EvacuationOrder& aOrder);
  proto::Evacuation EvacuationOf(const std::string& aDataCentre) const;
  void ApplyCrashEvidence(std::uint64_t aIndex, const proto::CrashEvidence& aEvidence);

  proto::Document mDocument;
  std::map<std::string, proto::Move> mMoves;    ///< Latest move by service.
  std::map<std::string, std::string> mVersions; ///< Version in force by service.
  std::map<std::string, proto::Leave> mLeaves;  ///< By upstream.
  std::map<std::string, proto::Evacuation> mEvacuations;
  proto::KnownUpstreams mKnownUpstreams;
  proto::QuotaRecord mQuotaRecord;
  std::uint64_t mLastChangeIndex = 0;
  request::quarantine::CrashAttribution mCrashes;
  std::uint64_t mQuarantineRevision = 0;
  sigc::signal<void()> mOnQuarantineChanged;
};

} // namespace cuminfield::process::cluster
