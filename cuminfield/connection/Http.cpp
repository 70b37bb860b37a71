#include "cuminfield/connection/Http.h"

#include <strings.h>

namespace cuminfield::connection {

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& it : aHeaders) {
    if (it.name.size() == aName.size() &&
        strncasecmp(it.name.data(), aName.data(), aName.size()) == 0) {
      return it.value;
    }
  }
  return {};
}

} // namespace cuminfield::connection
