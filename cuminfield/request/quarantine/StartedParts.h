#pragma once

#include "cuminfield/request/quarantine/CrashReport.h"

#include <set>

namespace cuminfield::request::quarantine {

/// The parts of prompts with which requests have begun on this host, for as long as they are among
/// the latest: callers choose how many parts there are.
class StartedParts
{
public:
  void Insert(const ServicePart& aPart);
  bool Contains(const ServicePart& aPart) const;

private:
  std::set<ServicePart> mLatest; ///< Becomes mOlder when it is full.
  std::set<ServicePart> mOlder;
};

} // namespace cuminfield::request::quarantine
