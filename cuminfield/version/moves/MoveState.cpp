#include "cuminfield/version/moves/MoveState.h"

namespace cuminfield::version::moves {

const char* ToString(MovePhase aPhase)
{
  switch (aPhase) {
    case MovePhase::Waiting:
      return "waiting";
    case MovePhase::Loading:
      return "loading";
    case MovePhase::Canary:
      return "canary";
    case MovePhase::Advancing:
      return "advancing";
    case MovePhase::Done:
      return "done";
    case MovePhase::RollingBack:
      return "undoing";
    case MovePhase::RolledBack:
      return "undone";
  }
  return "unknown";
}

} // namespace cuminfield::version::moves
