#include "cuminfield/request/admission/FairQueue.h"

#include <algorithm>

namespace cuminfield::request::admission {

namespace {

/// Flows kept before idle ones are removed.
constexpr std::size_t kIdleFlowCleanupThreshold = 1'024;

} // namespace

void FairQueue::Push(std::uint32_t aItem, std::uint32_t aWorkspace, double aCost,
                     std::uint32_t aWeight)
{
  if (aItem >= mNodes.size()) {
    mNodes.resize(std::max<std::size_t>(aItem + 1, mNodes.size() * 2));
  }
  const std::uint32_t index = FindOrAddFlow(aWorkspace);
  Flow& flow = mFlows[index];
  Node& node = mNodes[aItem];
  node = Node{ .flow = index,
               .previous = flow.tail,
               .older = mNewest,
               .normalizedCost = aCost / std::max(1.0, static_cast<double>(aWeight)) };
  if (flow.tail != kNone) {
    mNodes[flow.tail].next = aItem;
  } else {
    flow.head = aItem;
  }
  flow.tail = aItem;
  if (mNewest != kNone) {
    mNodes[mNewest].newer = aItem;
  }
  mNewest = aItem;
  ++mSize;
  if (!flow.scheduled) {
    ScheduleFlow(index);
  }
}

std::uint32_t FairQueue::Front()
{
  while (!mSchedule.empty()) {
    const Flow& flow = mFlows[mSchedule.front().flow];
    if (flow.head != kNone) {
      return flow.head;
    }
    UnscheduleFrontFlow();
  }
  return kNone;
}

void FairQueue::Serve(std::uint32_t aItem)
{
  const std::uint32_t index = mNodes[aItem].flow;
  const double cost = mNodes[aItem].normalizedCost;
  Flow& flow = mFlows[index];
  const double startTag = std::max(flow.finishTag, mVirtualTime);
  flow.finishTag = startTag + cost;
  const bool front = Front() == aItem;
  if (front) {
    mVirtualTime = std::max(mVirtualTime, mSchedule.front().startTag);
    UnscheduleFrontFlow();
  }
  Unlink(aItem);
  if (front && mFlows[index].head != kNone) {
    ScheduleFlow(index);
  }
  RemoveIdleFlows();
}

void FairQueue::Remove(std::uint32_t aItem)
{
  Unlink(aItem);
}

std::uint32_t FairQueue::FindOrAddFlow(std::uint32_t aWorkspace)
{
  const std::uint32_t existing = mFlowByWorkspace.Find(aWorkspace);
  if (existing != FlatHashMap::kNone) {
    return existing;
  }
  std::uint32_t index = static_cast<std::uint32_t>(mFlows.size());
  if (mFreeFlows.empty()) {
    mFlows.emplace_back();
  } else {
    index = mFreeFlows.back();
    mFreeFlows.pop_back();
  }
  mFlows[index] = Flow{ .workspace = aWorkspace, .finishTag = mVirtualTime };
  mFlowByWorkspace.Set(aWorkspace, index);
  return index;
}

void FairQueue::Unlink(std::uint32_t aItem)
{
  const Node node = mNodes[aItem];
  Flow& flow = mFlows[node.flow];
  (node.previous != kNone ? mNodes[node.previous].next : flow.head) = node.next;
  (node.next != kNone ? mNodes[node.next].previous : flow.tail) = node.previous;
  if (node.older != kNone) {
    mNodes[node.older].newer = node.newer;
  }
  (node.newer != kNone ? mNodes[node.newer].older : mNewest) = node.older;
  mNodes[aItem] = Node{};
  --mSize;
}

void FairQueue::ScheduleFlow(std::uint32_t aFlow)
{
  Flow& flow = mFlows[aFlow];
  flow.scheduled = true;
  mSchedule.push_back(ScheduledFlow{ .startTag = std::max(flow.finishTag, mVirtualTime),
                                     .sequence = mNextSequence++,
                                     .flow = aFlow });
  std::push_heap(mSchedule.begin(), mSchedule.end(), StartsLater);
}

void FairQueue::UnscheduleFrontFlow()
{
  mFlows[mSchedule.front().flow].scheduled = false;
  std::pop_heap(mSchedule.begin(), mSchedule.end(), StartsLater);
  mSchedule.pop_back();
}

void FairQueue::RemoveIdleFlows()
{
  if (mFlows.size() - mFreeFlows.size() <= kIdleFlowCleanupThreshold ||
      mNextSequence % kIdleFlowCleanupThreshold != 0) {
    return;
  }
  // A flow whose finish tag is not ahead of virtual time behaves like a new one.
  for (std::uint32_t n = 0; n < mFlows.size(); ++n) {
    Flow& flow = mFlows[n];
    if (flow.workspace != kNone && !flow.scheduled && flow.finishTag <= mVirtualTime) {
      mFlowByWorkspace.Erase(flow.workspace);
      flow = Flow{};
      mFreeFlows.push_back(n);
    }
  }
}

bool FairQueue::StartsLater(const ScheduledFlow& aLeft, const ScheduledFlow& aRight)
{
  if (aLeft.startTag != aRight.startTag) {
    return aLeft.startTag > aRight.startTag;
  }
  return aLeft.sequence > aRight.sequence;
}

} // namespace cuminfield::request::admission
