#pragma once

#include "cuminfield/request/admission/FlatHashMap.h"

#include <cstdint>
#include <vector>

namespace cuminfield::request::admission {

/// Queue of one tier and pool that is fair among workspaces: start-time fair queueing (Goyal, Vin
/// and Cheng, 1996). The start tag of a request is the maximum of the virtual time and its
/// workspace's last finish tag; its finish tag is the start tag plus cost divided by weight. The
/// smallest start tag is served first. Items are small integers that the caller reuses. Operations
/// are logarithmic in the number of workspaces with waiting requests and independent of the others.
class FairQueue
{
public:
  static constexpr std::uint32_t kNone = 0xffffffff;

  /// Appends an item to the queue of its workspace.
  void Push(std::uint32_t aItem, std::uint32_t aWorkspace, double aCost, std::uint32_t aWeight);

  /// Returns the item to serve next, or kNone.
  std::uint32_t Front();

  /// Removes an item that is served: advances virtual time and charges its workspace.
  void Serve(std::uint32_t aItem);

  /// Removes an item from any position without charging its workspace.
  void Remove(std::uint32_t aItem);

  /// Returns the waiting item that was pushed last, or kNone.
  std::uint32_t Newest() const { return mNewest; }

  std::size_t Size() const { return mSize; }
  bool IsEmpty() const { return mSize == 0; }

private:
  struct Node
  {
    std::uint32_t flow = kNone;
    std::uint32_t previous = kNone; ///< Within the workspace.
    std::uint32_t next = kNone;     ///< Within the workspace.
    std::uint32_t older = kNone;    ///< By arrival, over all workspaces.
    std::uint32_t newer = kNone;    ///< By arrival, over all workspaces.
    double normalizedCost = 0;      ///< Cost divided by weight.
  };
  struct Flow
  {
    std::uint32_t workspace = kNone;
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
    double finishTag = 0; ///< Of the item served last.
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
  std::vector<ScheduledFlow> mSchedule; ///< Heap with the smallest start tag on top.
  FlatHashMap mFlowByWorkspace;
  double mVirtualTime = 0;
  std::uint64_t mNextSequence = 0;
  std::size_t mSize = 0;
  std::uint32_t mNewest = kNone;
};

} // namespace cuminfield::request::admission
