#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/documents/DocumentSpread.h"
#include "cuminfield/process/log/Group.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::process::documents {

/// Response to an operator.
struct OperatorAnswer
{
  int status = 0;   ///< HTTP status.
  std::string body; ///< JSON.
};

/// An operator's request to change the document of an environment.
struct DocumentChange
{
  core::EnvironmentId environment;
  core::EnvironmentId from; ///< Environment to promote from; empty: `text` is used.
  std::uint64_t base = 0;   ///< Revision that the change is based on.
  std::string operatorName;
  std::string requestId; ///< Unchanged when a change is sent again after a lost response.
  std::string text;
};

/// Handles operators' changes to documents: validates the complete document, commits it to the
/// documents' group and, on a conflict, reports whose change came first.
class OperatorService
{
public:
  using Done = std::function<void(OperatorAnswer)>;

  struct Options
  {
    core::TimerService& timers;
    log::Group& group; ///< Group that stores the documents.
    DocumentSpread& spread;
    /// Time limit of a change or read. Longer than the election of a new leader.
    core::Duration limit = std::chrono::seconds(8);
  };

  explicit OperatorService(Options aOptions);

  /// Accepts a document or promotes one from another environment. Responds with status 200, 400,
  /// 404, 409, 503 (the change did not and will not take effect) or 504 (it may have taken effect:
  /// send it again with the same request id).
  void Change(const DocumentChange& aChange, const Done& aCallback);

  /// Reads the environment's current record from the group.
  void Read(const core::EnvironmentId& aEnvironment,
            std::function<void(core::Result<state::proto::EnvironmentRecord>)> aCallback);

private:
  void Apply(const DocumentChange& aChange, const Done& aCallback);
  void Promote(const DocumentChange& aChange, const Done& aCallback);
  void Propose(const DocumentChange& aChange, state::proto::Command aCommand,
               const Done& aCallback);
  void OnAnswer(const DocumentChange& aChange, const core::Result<std::string>& aResult,
                const Done& aCallback);
  void Publish(const core::EnvironmentId& aEnvironment);

  Options mOptions;
};

} // namespace cuminfield::process::documents
