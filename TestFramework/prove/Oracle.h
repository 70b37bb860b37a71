#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::prove {

/// Compares the responses that callers received with the runs that upstreams recorded, and counts
/// checks and violations.
class Oracle
{
public:
  /// Counts a check. If aHolds is false, counts and logs a violation.
  void Check(bool aHolds, const std::string& aViolation);

  /// Reads the run records of the upstreams and the outcome file of the callers in a folder. Checks
  /// that:
  /// - each key and each request other than a GET ran at most once,
  /// - no request with a `not-run` response ran,
  /// - each complete response was the expected one,
  /// - each payout with a successful response ran,
  /// - each caller with a key got some response.
  void CheckFolder(const std::string& aFolder);

  std::size_t CheckCount() const { return mCheckCount; }
  std::size_t ViolationCount() const { return mViolationCount; }
  /// Formats the number of calls of each outcome.
  std::string OutcomeSummary() const;

private:
  void ReadRunRecord(const std::string& aFile);
  void CheckOutcome(const std::string& aLine);

  std::size_t mCheckCount = 0;
  std::size_t mViolationCount = 0;
  std::map<std::string, std::vector<std::string>> mRunsByKey; ///< Request ids.
  std::map<std::string, std::size_t> mRunCountsById;
  std::map<std::string, std::size_t> mOutcomeCounts;
};

} // namespace cuminfield::test_framework::prove
