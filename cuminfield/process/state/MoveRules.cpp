#include "cuminfield/process/state/MoveRules.h"

namespace cuminfield::process::state {

namespace {

constexpr std::uint32_t kFullSharePerMille = 1000;

} // namespace

bool IsFinal(proto::MoveState aState)
{
  return aState == proto::MOVE_STATE_DONE || aState == proto::MOVE_STATE_UNDONE;
}

bool IsTransitionAllowed(proto::MoveState aFrom, proto::MoveState aTo)
{
  using namespace proto;
  if (IsFinal(aFrom) || aTo == MOVE_STATE_UNSPECIFIED) {
    return false;
  }
  if (aFrom == aTo) {
    return true;
  }
  switch (aFrom) {
    case MOVE_STATE_UNSPECIFIED:
      return aTo == MOVE_STATE_WAITING || aTo == MOVE_STATE_LOADING || aTo == MOVE_STATE_UNDOING ||
             aTo == MOVE_STATE_UNDONE;
    case MOVE_STATE_WAITING:
      return aTo == MOVE_STATE_LOADING || aTo == MOVE_STATE_UNDOING || aTo == MOVE_STATE_UNDONE;
    case MOVE_STATE_LOADING:
      return aTo == MOVE_STATE_CANARY || aTo == MOVE_STATE_UNDOING || aTo == MOVE_STATE_UNDONE;
    case MOVE_STATE_CANARY:
      return aTo == MOVE_STATE_ADVANCING || aTo == MOVE_STATE_UNDOING;
    case MOVE_STATE_ADVANCING:
      return aTo == MOVE_STATE_DONE || aTo == MOVE_STATE_UNDOING;
    case MOVE_STATE_UNDOING:
      return aTo == MOVE_STATE_UNDONE;
    default:
      return false;
  }
}

bool IsShareAllowed(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep)
{
  const std::uint32_t share = aStep.share_per_mille();
  switch (aStep.state()) {
    case proto::MOVE_STATE_CANARY:
      return share <= kMaxCanaryPerMille;
    case proto::MOVE_STATE_ADVANCING:
      return share <= kFullSharePerMille;
    case proto::MOVE_STATE_DONE:
      return share == kFullSharePerMille;
    case proto::MOVE_STATE_UNDOING:
      return share <= aCurrent.share_per_mille();
    default:
      return share == 0;
  }
}

bool IsResent(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep)
{
  return aCurrent.step() == aStep.base_step() + 1 && aCurrent.revision() == aStep.revision() &&
         aCurrent.state() == aStep.state() &&
         aCurrent.share_per_mille() == aStep.share_per_mille() &&
         aCurrent.reason() == aStep.reason() && aCurrent.at() == aStep.at() &&
         aCurrent.fencing() == aStep.fencing() && aCurrent.details() == aStep.details();
}

proto::MoveVerdict CheckStep(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep,
                             std::uint64_t aRevision)
{
  if (IsResent(aCurrent, aStep)) {
    return proto::MOVE_VERDICT_ACCEPTED;
  }
  if (aStep.fencing() < aCurrent.fencing()) {
    return proto::MOVE_VERDICT_OLD_FENCING;
  }
  if (aStep.base_step() != aCurrent.step()) {
    return proto::MOVE_VERDICT_CONFLICT;
  }
  if (aStep.revision() < aCurrent.revision() || aStep.revision() > aRevision) {
    return proto::MOVE_VERDICT_WRONG_REVISION;
  }
  if (!IsTransitionAllowed(aCurrent.state(), aStep.state())) {
    return proto::MOVE_VERDICT_ILLEGAL;
  }
  if (!IsShareAllowed(aCurrent, aStep)) {
    return proto::MOVE_VERDICT_INVALID;
  }
  return proto::MOVE_VERDICT_ACCEPTED;
}

proto::MoveRecord MakeNextRecord(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep)
{
  proto::MoveRecord next = aCurrent;
  next.set_move(aStep.move());
  next.set_revision(aStep.revision());
  next.set_step(aCurrent.step() + 1);
  next.set_state(aStep.state());
  next.set_share_per_mille(aStep.share_per_mille());
  next.set_reason(aStep.reason());
  next.set_at(aStep.at());
  next.set_fencing(aStep.fencing());
  next.set_details(aStep.details());
  return next;
}

} // namespace cuminfield::process::state
