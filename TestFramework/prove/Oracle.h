#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::prove {

/// Holds what callers were told against what upstreams ran, and counts checks and violations.
class Oracle
{
public:
  /// Counts a check; where aHolds is false, a violation that is printed.
  void Check(bool aHolds, const std::string& aViolation);

  /// Reads the upstreams' record files and the callers' outcome file of a folder and checks that
  /// each key and each request that is no lookup ran at most once, that nothing answered `not-run`
  /// ran, that each complete answer was the caller's own, that each answered payout ran and that no
  /// caller with a key was left without a word.
  void CheckFolder(const std::string& aFolder);

  std::size_t Checks() const { return mChecks; }
  std::size_t Violations() const { return mViolations; }
  /// Calls by kind of outcome, for a summary.
  std::string Outcomes() const;

private:
  void ReadRecord(const std::string& aFile);
  void CheckOutcome(const std::string& aLine);

  std::size_t mChecks = 0;
  std::size_t mViolations = 0;
  std::map<std::string, std::vector<std::string>> mRunsByKey; ///< Request ids.
  std::map<std::string, std::size_t> mRunsById;
  std::map<std::string, std::size_t> mOutcomes;
};

} // namespace cuminfield::test_framework::prove
