#include "TestFramework/plain/PlainResponse.h"

#include "TestFramework/engine/CompletionText.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cuminfield::test_framework::plain {

std::string MakePlainResponse(const std::string& aMethod, const std::string& aTarget,
                              const std::string& aBody)
{
  const std::string hash = engine::FormatHash(XXH64(aBody.data(), aBody.size(), 0));
  return nlohmann::json{ { "method", aMethod }, { "target", aTarget }, { "body", hash } }.dump();
}

} // namespace cuminfield::test_framework::plain
