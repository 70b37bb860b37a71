#pragma once

#include "cuminfield/request/admission/FlatHashMap.h"

#include <cstdint>
#include <vector>

namespace cuminfield::request::admission {

/// The waiting requests of one tier and pool in fair order among workspaces: start-time fair
/// queueing (Goyal, Vin and Cheng, 1996). A request's start tag is the larger of the virtual time
/// and its workspace's last finish tag; its finish tag lies its cost over its weight later; the
/// smallest start tag goes first. Items are small integers that the caller reuses.
/// Cost: logarithmic in the workspaces that wait, independent of those that do not.
class FairQueue
{
public:
  static constexpr std::uint32_t kNone = 0xffffffff;

  /// Puts an item at the end of its workspace's line.
  void Push(std::uint32_t aItem, std::uint32_t aWorkspace, double aCost, std::uint32_t aWeight);

  /// The item whose turn it is, or kNone.
  std::uint32_t Front();

  /// Takes an item out because it is served: virtual time moves on and its workspace is charged.
  void Serve(std::uint32_t aItem);

  /// Takes an item out unserved, wherever it stands.
  void Remove(std::uint32_t aItem);

  /// The item that was pushed last of those still waiting, or kNone.
  std::uint32_t Newest() const { return mNewest; }

  std::size_t Size() const { return mSize; }
  bool IsEmpty() const { return mSize == 0; }

private:
  struct Node
  {
    std::uint32_t flow = kNone;
    std::uint32_t previous = kNone; ///< In the workspace's line.
    std::uint32_t next = kNone;     ///< In the workspace's line.
    std::uint32_t older = kNone;    ///< In order of arrival.
    std::uint32_t newer = kNone;    ///< In order of arrival.
    double normalizedCost = 0;      ///< Cost over weight.
  };
  struct Flow
  {
    std::uint32_t workspace = kNone;
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
    double finishTag = 0; ///< Finish tag of what was served last.
    bool scheduled = false;
  };
  struct ScheduledFlow
  {
    double startTag = 0;
    std::uint64_t sequence = 0; ///< Breaks ties in order of arrival.
    std::uint32_t flow = kNone;
  };

  std::uint32_t FindOrAddFlow(std::uint32_t aWorkspace);
  void Unlink(std::uint32_t aItem);
  void ScheduleFlow(std::uint32_t aFlow);
  void UnscheduleFrontFlow();
  void RemoveIdleFlows();
  static bool StartsLater(const ScheduledFlow& aLeft, const ScheduledFlow& aRight);

  std::vector<Node> mNodes; ///< By item.
  std::vector<Flow> mFlows;
  std::vector<std::uint32_t> mFreeFlows;
  std::vector<ScheduledFlow> mSchedule; ///< Heap, the smallest start tag first.
  FlatHashMap mFlowByWorkspace;
  double mVirtualTime = 0;
  std::uint64_t mNextSequence = 0;
  std::size_t mSize = 0;
  std::uint32_t mNewest = kNone;
};

} // namespace cuminfield::request::admission
