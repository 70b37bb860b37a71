#pragma once

#include <map>
#include <string>

namespace cuminfield::connection {

/// Returns the decoded query parameters of a request target; empty if the query is malformed.
std::map<std::string, std::string> ParseQuery(const std::string& aTarget);

/// Percent-encodes a value for use in a query.
std::string EncodeQueryValue(const std::string& aValue);

} // namespace cuminfield::connection
