#pragma once

#include "cuminfield/process/cluster/cluster.pb.h"

namespace cuminfield::process::cluster {

/// True while a move is neither completed nor rolled back.
inline bool IsRunning(const proto::Move& aMove)
{
  return aMove.phase() == proto::CANARY || aMove.phase() == proto::SHIFTED;
}

} // namespace cuminfield::process::cluster
