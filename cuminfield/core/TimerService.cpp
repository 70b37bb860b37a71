#include "cuminfield/core/TimerService.h"

#include <algorithm>

namespace cuminfield::core {

TimerHandle TimerService::After(Duration aDelay, sigc::slot<void()> aSlot)
{
  return Add(aDelay, Duration::zero(), std::move(aSlot));
}

TimerHandle TimerService::Every(Duration aPeriod, sigc::slot<void()> aSlot)
{
  return Add(aPeriod, aPeriod, std::move(aSlot));
}

TimerHandle TimerService::Add(Duration aDelay, Duration aPeriod, sigc::slot<void()> aSlot)
{
  auto active = std::make_shared<bool>(true);
  Push({ .due = Now() + std::max(aDelay, Duration::zero()),
         .sequence = mNextSequence++,
         .period = aPeriod,
         .slot = std::move(aSlot),
         .active = active });
  Rearm();
  return TimerHandle(std::move(active));
}

void TimerService::RunDue()
{
  // Timers that are added while slots run wait for the next call, so that a timer without delay
  // cannot starve the loop.
  const Instant now = Now();
  const std::uint64_t firstNew = mNextSequence;
  std::vector<Timer> deferred;
  while (!mHeap.empty() && mHeap.front().due <= now) {
    Timer timer = Pop();
    if (!*timer.active) {
      continue;
    }
    if (timer.sequence >= firstNew) {
      deferred.push_back(std::move(timer));
      continue;
    }
    if (timer.period == Duration::zero()) {
      *timer.active = false;
    }
    timer.slot();
    if (timer.period != Duration::zero() && *timer.active) {
      timer.due = now + timer.period;
      timer.sequence = mNextSequence++;
      Push(std::move(timer));
    }
  }
  for (Timer& it : deferred) {
    Push(std::move(it));
  }
}

std::optional<Instant> TimerService::NextDue()
{
  DropCancelled();
  if (mHeap.empty()) {
    return std::nullopt;
  }
  return mHeap.front().due;
}

void TimerService::DropCancelled()
{
  while (!mHeap.empty() && !*mHeap.front().active) {
    Pop();
  }
}

void TimerService::Push(Timer aTimer)
{
  mHeap.push_back(std::move(aTimer));
  std::push_heap(mHeap.begin(), mHeap.end(), Later);
}

TimerService::Timer TimerService::Pop()
{
  std::pop_heap(mHeap.begin(), mHeap.end(), Later);
  Timer timer = std::move(mHeap.back());
  mHeap.pop_back();
  return timer;
}

bool TimerService::Later(const Timer& aLeft, const Timer& aRight)
{
  if (aLeft.due != aRight.due) {
    return aLeft.due > aRight.due;
  }
  return aLeft.sequence > aRight.sequence;
}

} // namespace cuminfield::core
