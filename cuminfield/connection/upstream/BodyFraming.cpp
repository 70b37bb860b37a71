#include "cuminfield/connection/upstream/BodyFraming.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace cuminfield::connection::upstream {

namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

constexpr std::string_view kDigits = "0123456789";

/// Characters of a header name (RFC 9110, 5.6.2).
constexpr std::string_view kTokenCharacters = "!#$%&'*+-.^_`|~0123456789"
                                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                              "abcdefghijklmnopqrstuvwxyz";

/// Longest length that fits into 64 bits in all cases.
constexpr std::size_t kMaxLengthDigits = 18;

bool EqualsIgnoringCase(std::string_view aText, std::string_view aOther)
{
  return aText.size() == aOther.size() &&
         strncasecmp(aText.data(), aOther.data(), aText.size()) == 0;
}

/// Removes white space at both ends; a value in a continuation line begins with it.
std::string_view Trim(std::string_view aText)
{
  const std::size_t begin = std::min(aText.find_first_not_of(" \t"), aText.size());
  aText.remove_prefix(begin);
  return aText.substr(0, aText.find_last_not_of(" \t") + 1);
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && aText.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

bool IsLength(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxLengthDigits &&
         aText.find_first_not_of(kDigits) == std::string_view::npos;
}

} // namespace

std::optional<BodyFraming> DetermineBodyFraming(int aStatus, const HttpHeaders& aHeaders)
{
  std::optional<std::string_view> length;
  bool isChunked = false;
  for (const HttpHeader& it : aHeaders) {
    // A space before the colon would hide a length.
    if (!IsToken(it.name)) {
      return std::nullopt;
    }
    const std::string_view value = Trim(it.value);
    if (EqualsIgnoringCase(it.name, "Content-Length")) {
      if (!IsLength(value) || length.value_or(value) != value) {
        return std::nullopt;
      }
      length = value;
    } else if (EqualsIgnoringCase(it.name, "Transfer-Encoding")) {
      if (isChunked || !EqualsIgnoringCase(value, "chunked")) {
        return std::nullopt;
      }
      isChunked = true;
    }
  }
  if (length && isChunked) {
    return std::nullopt;
  }
  if (aStatus == kStatusNotModified && !isChunked) {
    return BodyFraming::NoBody; // The length is that of the body which is not sent.
  }
  if (aStatus == kStatusNoContent || aStatus == kStatusNotModified) {
    const bool announcesBody = isChunked || (length && *length != "0");
    return announcesBody ? std::nullopt : std::optional(BodyFraming::NoBody);
  }
  if (isChunked) {
    return BodyFraming::Chunks;
  }
  return length ? BodyFraming::Length : BodyFraming::ConnectionClose;
}

std::optional<std::size_t> FindResponseSize(std::string_view aHead)
{
  constexpr std::string_view kStatusLineStart = "HTTP/1.1 ";
  const std::string_view status = aHead.substr(std::min(kStatusLineStart.size(), aHead.size()), 3);
  if (status.starts_with('1') || status == "204" || status == "304") {
    return aHead.size();
  }
  constexpr std::string_view kName = "Content-Length:";
  for (std::size_t begin = 0; begin < aHead.size();) {
    const std::size_t end = std::min(aHead.find('\n', begin), aHead.size());
    const std::string_view line = aHead.substr(begin, end - begin);
    begin = end + 1;
    if (!EqualsIgnoringCase(line.substr(0, kName.size()), kName)) {
      continue;
    }
    std::string_view value = line.substr(kName.size());
    value.remove_suffix(value.ends_with('\r') ? 1 : 0);
    value = Trim(value);
    std::size_t length = 0;
    if (!IsLength(value)) {
      return std::nullopt;
    }
    std::from_chars(value.data(), value.data() + value.size(), length);
    return aHead.size() + length;
  }
  return std::nullopt;
}

} // namespace cuminfield::connection::upstream
