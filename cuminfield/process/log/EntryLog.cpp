#include "cuminfield/process/log/EntryLog.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::log {

std::uint64_t EntryLog::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().term();
}

std::optional<std::uint64_t> EntryLog::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  if (aIndex < mBaseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term();
}

std::uint64_t EntryLog::FirstIndexOfTerm(std::uint64_t aIndex) const
{
  std::uint64_t index = aIndex;
  const std::uint64_t term = At(aIndex).term();
  while (index > mBaseIndex + 1 && At(index - 1).term() == term) {
    --index;
  }
  return index;
}

void EntryLog::Append(proto::Entry aEntry)
{
  CUMINFIELD_INVARIANT("log.contiguous", aEntry.index() == LastIndex() + 1);
  CUMINFIELD_INVARIANT("log.terms-grow", aEntry.term() >= LastTerm());
  if (aEntry.has_configuration()) {
    mConfigurations.push_back(
      { .index = aEntry.index(), .configuration = FromProto(aEntry.configuration()) });
  }
  mCommandBytes += aEntry.command().size();
  mEntries.push_back(std::move(aEntry));
}

void EntryLog::TruncateFrom(std::uint64_t aIndex)
{
  while (LastIndex() >= aIndex && !mEntries.empty()) {
    mCommandBytes -= mEntries.back().command().size();
    mEntries.pop_back();
  }
  while (mConfigurations.size() > 1 && mConfigurations.back().index >= aIndex) {
    mConfigurations.pop_back();
  }
}

void EntryLog::CompactTo(std::uint64_t aIndex)
{
  while (mBaseIndex < aIndex && !mEntries.empty()) {
    mBaseTerm = mEntries.front().term();
    mCommandBytes -= mEntries.front().command().size();
    mEntries.pop_front();
    ++mBaseIndex;
  }
  while (mConfigurations.size() > 1 && mConfigurations[1].index <= mBaseIndex) {
    mConfigurations.erase(mConfigurations.begin());
  }
}

void EntryLog::Reset(const proto::Snapshot& aSnapshot)
{
  mBaseIndex = aSnapshot.index();
  mBaseTerm = aSnapshot.term();
  mEntries.clear();
  mCommandBytes = 0;
  mConfigurations = { IndexedConfiguration{
    .index = aSnapshot.index(), .configuration = FromProto(aSnapshot.configuration()) } };
}

const Configuration& EntryLog::ConfigurationAt(std::uint64_t aIndex) const
{
  std::size_t i = mConfigurations.size() - 1;
  while (i > 0 && mConfigurations[i].index > aIndex) {
    --i;
  }
  return mConfigurations[i].configuration;
}

} // namespace cuminfield::process::log
