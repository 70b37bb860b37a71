#pragma once

#include "TestFramework/caller/Call.h"

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

/// Writes the outcome of each call to a file as a line of JSON and counts outcomes for a summary.
class OutcomeLog
{
public:
  /// If aFile is empty, outcomes are only counted.
  explicit OutcomeLog(const std::string& aFile);

  /// Also prints a line for each outcome to standard output.
  void EnablePrinting() { mPrintEnabled = true; }

  void Add(const CallSpec& aSpec, const Outcome& aOutcome, core::WallTime aNow);

  /// Number of calls whose outcome is aKind.
  std::size_t Count(const std::string& aKind) const;

  std::size_t TotalCount() const;

  /// Formats counts and latencies as one line of `key=value` pairs.
  std::string Summary() const;

private:
  std::ofstream mFile;
  bool mPrintEnabled = false;
  std::map<std::string, std::size_t> mCounts;
  std::map<std::string, std::vector<core::Duration>> mFirstTokenLatencies; ///< By tier.
};

} // namespace cuminfield::test_framework::caller
