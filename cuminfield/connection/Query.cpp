#include "cuminfield/connection/Query.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>

namespace cuminfield::connection {

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> parameters;
  const std::size_t begin = aTarget.find('?');
  if (begin == std::string::npos) {
    return parameters;
  }
  evkeyvalq values{};
  if (evhttp_parse_query_str(aTarget.c_str() + begin + 1, &values) != 0) {
    return parameters;
  }
  for (const evkeyval* it = values.tqh_first; it; it = it->next.tqe_next) {
    parameters.emplace(it->key, it->value);
  }
  evhttp_clear_headers(&values);
  return parameters;
}

std::string EncodeQueryValue(const std::string& aValue)
{
  char* encoded = evhttp_encode_uri(aValue.c_str());
  std::string text(encoded);
  std::free(encoded);
  return text;
}

} // namespace cuminfield::connection
