#pragma once

#include "TestFramework/caller/Call.h"

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

/// Keeps how each call came out: a line of JSON each in a file, and counts for a summary.
class OutcomeLog
{
public:
  /// aFile may be empty: counts alone.
  explicit OutcomeLog(const std::string& aFile);

  /// Prints a line for each outcome as well.
  void Print() { mPrint = true; }

  /// Notes one outcome.
  void Add(const CallSpec& aSpec, const Outcome& aOutcome, core::WallTime aNow);

  /// Calls of this kind of outcome.
  std::size_t Count(const std::string& aKind) const;

  /// Calls in all.
  std::size_t Total() const;

  /// One line of `key=value`.
  std::string Summary() const;

private:
  std::ofstream mFile;
  bool mPrint = false;
  std::map<std::string, std::size_t> mCounts;
  std::map<std::string, std::vector<core::Duration>> mFirstTokens; ///< By tier.
};

} // namespace cuminfield::test_framework::caller
