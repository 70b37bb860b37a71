#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/documents/DocumentDistributor.h"
#include "cuminfield/process/log/Group.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::process::documents {

/// Response to an operator.
struct OperatorResponse
{
  int status = 0;   ///< HTTP status.
  std::string body; ///< JSON.
};

/// An operator's request to change the document of an environment.
struct DocumentChange
{
  core::EnvironmentId environment;
  core::EnvironmentId sourceEnvironment; ///< Environment to promote from; empty: `text` is used.
  std::uint64_t baseRevision = 0;        ///< Revision that the change is based on.
  std::string operatorName;
  std::string requestId; ///< Unchanged when a change is sent again after a lost response.
  std::string text;
};

/// Handles operators' changes to documents: validates the complete document, commits it to the
/// documents' group and, on a conflict, reports whose change came first.
class OperatorService
{
public:
  using Callback = std::function<void(OperatorResponse)>;

  struct Options
  {
    core::TimerService& timers;
    log::Group& group; ///< Group that stores the documents.
    DocumentDistributor& distributor;
    /// Time limit of a change or read. Longer than the election of a new leader.
    core::Duration timeout = std::chrono::seconds(8);
  };

  explicit OperatorService(Options aOptions);

  /// Accepts a document or promotes one from another environment. Responds with status 200, 400,
  /// 404, 409, 503 (the change did not and will not take effect) or 504 (it may have taken effect:
  /// send it again with the same request id).
  void SubmitChange(const DocumentChange& aChange, const Callback& aCallback);

  /// Reads the environment's current record from the group.
  void ReadRecord(const core::EnvironmentId& aEnvironment,
                  std::function<void(core::Result<state::proto::EnvironmentRecord>)> aCallback);

private:
  void ProposeDocument(const DocumentChange& aChange, const Callback& aCallback);
  void ProposePromotion(const DocumentChange& aChange, const Callback& aCallback);
  void ProposeCommand(const DocumentChange& aChange, state::proto::Command aCommand,
                      const Callback& aCallback);
  void OnCommandApplied(const DocumentChange& aChange, const core::Result<std::string>& aResult,
                        const Callback& aCallback);
  void DistributeRecord(const core::EnvironmentId& aEnvironment);

  Options mOptions;
};

} // namespace cuminfield::process::documents
