#include "cuminfield/request/admission/FairQueue.h"

#include <algorithm>

namespace cuminfield::request::admission {

namespace {

constexpr std::size_t kIdleFlows = 1'024; ///< Workspaces remembered before idle ones are forgotten.

} // namespace

void FairQueue::Push(std::uint32_t aItem, std::uint32_t aWorkspace, double aCost,
                     std::uint32_t aWeight)
{
  if (aItem >= mNodes.size()) {
    mNodes.resize(std::max<std::size_t>(aItem + 1, mNodes.size() * 2));
  }
  const std::uint32_t index = FlowOf(aWorkspace);
  Flow& flow = mFlows[index];
  Node& node = mNodes[aItem];
  node = Node{ .flow = index,
               .previous = flow.tail,
               .older = mNewest,
               .share = aCost / std::max(1.0, static_cast<double>(aWeight)) };
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
  if (!flow.queued) {
    Enqueue(index);
  }
}

std::uint32_t FairQueue::Front()
{
  while (!mTurns.empty()) {
    const Flow& flow = mFlows[mTurns.front().flow];
    if (flow.head != kNone) {
      return flow.head;
    }
    DropFront();
  }
  return kNone;
}

void FairQueue::Serve(std::uint32_t aItem)
{
  const std::uint32_t index = mNodes[aItem].flow;
  const double share = mNodes[aItem].share;
  Flow& flow = mFlows[index];
  const double start = std::max(flow.finish, mVirtualTime);
  flow.finish = start + share;
  const bool front = Front() == aItem;
  if (front) {
    mVirtualTime = std::max(mVirtualTime, mTurns.front().start);
    DropFront();
  }
  Unlink(aItem);
  if (front && mFlows[index].head != kNone) {
    Enqueue(index);
  }
  ForgetIdleFlows();
}

void FairQueue::Remove(std::uint32_t aItem)
{
  Unlink(aItem);
}

std::uint32_t FairQueue::FlowOf(std::uint32_t aWorkspace)
{
  const std::uint32_t known = mByWorkspace.Find(aWorkspace);
  if (known != FlatIndex::kNone) {
    return known;
  }
  std::uint32_t index = static_cast<std::uint32_t>(mFlows.size());
  if (mFreeFlows.empty()) {
    mFlows.emplace_back();
  } else {
    index = mFreeFlows.back();
    mFreeFlows.pop_back();
  }
  mFlows[index] = Flow{ .workspace = aWorkspace, .finish = mVirtualTime };
  mByWorkspace.Set(aWorkspace, index);
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

void FairQueue::Enqueue(std::uint32_t aFlow)
{
  Flow& flow = mFlows[aFlow];
  flow.queued = true;
  mTurns.push_back(
    Turn{ .start = std::max(flow.finish, mVirtualTime), .sequence = mSequence++, .flow = aFlow });
  std::push_heap(mTurns.begin(), mTurns.end(), Later);
}

void FairQueue::DropFront()
{
  mFlows[mTurns.front().flow].queued = false;
  std::pop_heap(mTurns.begin(), mTurns.end(), Later);
  mTurns.pop_back();
}

void FairQueue::ForgetIdleFlows()
{
  if (mFlows.size() - mFreeFlows.size() <= kIdleFlows || mSequence % kIdleFlows != 0) {
    return;
  }
  // A flow whose finish tag lies behind the virtual time has no claim or debt to remember.
  for (std::uint32_t n = 0; n < mFlows.size(); ++n) {
    Flow& flow = mFlows[n];
    if (flow.workspace != kNone && !flow.queued && flow.finish <= mVirtualTime) {
      mByWorkspace.Erase(flow.workspace);
      flow = Flow{};
      mFreeFlows.push_back(n);
    }
  }
}

bool FairQueue::Later(const Turn& aLeft, const Turn& aRight)
{
  if (aLeft.start != aRight.start) {
    return aLeft.start > aRight.start;
  }
  return aLeft.sequence > aRight.sequence;
}

} // namespace cuminfield::request::admission
