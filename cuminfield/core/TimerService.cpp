#include "cuminfield/core/TimerService.h"

#include <algorithm>

namespace cuminfield::core {

TimerHandle TimerService::ScheduleAfter(Duration aDelay, sigc::slot<void()> aSlot)
{
  return AddTimer(aDelay, Duration::zero(), std::move(aSlot));
}

TimerHandle TimerService::ScheduleEvery(Duration aPeriod, sigc::slot<void()> aSlot)
{
  return AddTimer(aPeriod, aPeriod, std::move(aSlot));
}

TimerHandle TimerService::AddTimer(Duration aDelay, Duration aPeriod, sigc::slot<void()> aSlot)
{
  auto active = std::make_shared<bool>(true);
  PushTimer({ .due = Now() + std::max(aDelay, Duration::zero()),
              .sequence = mNextSequence++,
              .period = aPeriod,
              .slot = std::move(aSlot),
              .active = active });
  Rearm();
  return TimerHandle(std::move(active));
}

void TimerService::RunDueTimers()
{
  // Timers that are added while slots run wait for the next call, so that a timer without delay
  // cannot starve the loop.
  const Instant now = Now();
  const std::uint64_t firstNew = mNextSequence;
  std::vector<Timer> deferred;
  while (!mTimers.empty() && mTimers.front().due <= now) {
    Timer timer = PopTimer();
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
      PushTimer(std::move(timer));
    }
  }
  for (Timer& it : deferred) {
    PushTimer(std::move(it));
  }
}

std::optional<Instant> TimerService::NextDueTime()
{
  RemoveCancelledTimers();
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return mTimers.front().due;
}

void TimerService::RemoveCancelledTimers()
{
  while (!mTimers.empty() && !*mTimers.front().active) {
    PopTimer();
  }
}

void TimerService::PushTimer(Timer aTimer)
{
  mTimers.push_back(std::move(aTimer));
  std::push_heap(mTimers.begin(), mTimers.end(), IsLater);
}

TimerService::Timer TimerService::PopTimer()
{
  std::pop_heap(mTimers.begin(), mTimers.end(), IsLater);
  Timer timer = std::move(mTimers.back());
  mTimers.pop_back();
  return timer;
}

bool TimerService::IsLater(const Timer& aLeft, const Timer& aRight)
{
  if (aLeft.due != aRight.due) {
    return aLeft.due > aRight.due;
  }
  return aLeft.sequence > aRight.sequence;
}

} // namespace cuminfield::core
