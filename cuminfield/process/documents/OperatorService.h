#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/documents/DocumentSpread.h"
#include "cuminfield/process/log/Group.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::process::documents {

/// An answer to an operator: an HTTP status and a JSON body.
struct OperatorAnswer
{
  int status = 0;
  std::string body;
};

/// What an operator asks to change.
struct DocumentChange
{
  core::EnvironmentId environment;
  core::EnvironmentId from; ///< To promote from; empty: the text counts.
  std::uint64_t base = 0;   ///< The revision that the change was made from.
  std::string operatorName;
  std::string requestId; ///< The same when a change is sent again after a lost answer.
  std::string text;
};

/// Takes operators' documents: checks them whole, commits them, tells who was first.
class OperatorService
{
public:
  using Done = std::function<void(OperatorAnswer)>;

  struct Options
  {
    core::TimerService& timers;
    log::Group& group; ///< The documents' group.
    DocumentSpread& spread;
    /// How long a change may take: longer than the election of a new leader.
    core::Duration limit = std::chrono::seconds(8);
  };

  explicit OperatorService(Options aOptions);

  /// Accepts a document, or promotes one. Answers 200, 400, 404, 409, 503 (did not and will not
  /// take effect) or 504 (may have: send it again with the same request id).
  void Change(const DocumentChange& aChange, const Done& aDone);

  /// The environment's record as the group has it now.
  void Read(const core::EnvironmentId& aEnvironment,
            std::function<void(core::Result<state::proto::EnvironmentRecord>)> aDone);

private:
  void Apply(const DocumentChange& aChange, const Done& aDone);
  void Promote(const DocumentChange& aChange, const Done& aDone);
  void Propose(const DocumentChange& aChange, state::proto::Command aCommand, const Done& aDone);
  void OnAnswer(const DocumentChange& aChange, const core::Result<std::string>& aResult,
                const Done& aDone);
  void Publish(const core::EnvironmentId& aEnvironment);

  Options mOptions;
};

} // namespace cuminfield::process::documents
