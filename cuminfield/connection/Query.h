#pragma once

#include <map>
#include <string>

namespace cuminfield::connection {

/// The decoded parameters of a request target's query; empty for one that is malformed.
std::map<std::string, std::string> ParseQuery(const std::string& aTarget);

/// A value encoded for use in a query.
std::string EncodeQueryValue(const std::string& aValue);

} // namespace cuminfield::connection
