#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/moves/move_messages.pb.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/moves/MoveEvidence.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::process::moves {

/// Sends to a host. A message to this host itself is received like any other.
using MoveMessageSender = std::function<void(const core::HostId&, const proto::MoveMessage&)>;

/// Identifies a move by its id and the environment whose document contains it.
struct MoveKey
{
  core::EnvironmentId environment;
  core::MoveId move;

  auto operator<=>(const MoveKey&) const = default;

  /// Name of the register that stores the move's state for a role.
  std::string RegisterName(const std::string& aRole) const
  {
    return aRole + "/" + environment.Text() + "/" + move.Text();
  }
};

/// One move as its document defines it.
struct DocumentMove
{
  MoveKey key;
  version::document::MoveSettings settings;
  std::vector<core::RouteId> routes; ///< Routes of the service.
  std::uint64_t revision = 0;        ///< Revision of the document.

  version::moves::MoveSubject Subject() const
  {
    return { .move = settings.id,
             .service = settings.service,
             .from = settings.from,
             .to = settings.to,
             .routes = routes };
  }
};

} // namespace cuminfield::process::moves
