#include "cuminfield/connection/upstream/ResponseHeadChecker.h"

namespace cuminfield::connection::upstream {

namespace {

/// Prefix of a status line; each 0 stands for a digit, the 1 for one of the five classes of
/// statuses (RFC 9110, 15).
constexpr std::string_view kStatusLineForm = "HTTP/0.0 100";

/// The status line up to the character behind the code; of other lines it only matters whether they
/// are empty.
constexpr std::size_t kCheckedLineBytes = kStatusLineForm.size() + 1;

bool Matches(char aForm, char aCharacter)
{
  switch (aForm) {
    case '0':
      return aCharacter >= '0' && aCharacter <= '9';
    case '1':
      return aCharacter >= '1' && aCharacter <= '5';
    default:
      return aCharacter == aForm;
  }
}

bool IsStatusLine(std::string_view aLine)
{
  if (aLine.size() < kStatusLineForm.size()) {
    return false;
  }
  for (std::size_t n = 0; n < kStatusLineForm.size(); ++n) {
    if (!Matches(kStatusLineForm[n], aLine[n])) {
      return false;
    }
  }
  return aLine.size() == kStatusLineForm.size() || aLine[kStatusLineForm.size()] == ' ';
}

} // namespace

void ResponseHeadChecker::Consume(std::string_view aBytes)
{
  for (const char it : aBytes) {
    if (IsDone()) {
      return;
    }
    ++mConsumedBytes;
    if (it == '\n') {
      ConsumeLine();
    } else if (it == '\0') {
      mIsMalformed = true;
    } else if (mLine.size() < kCheckedLineBytes) {
      mLine += it;
    }
  }
}

void ResponseHeadChecker::ConsumeLine()
{
  if (mLine.ends_with('\r')) {
    mLine.pop_back();
  }
  if (mIsStatusLine) {
    mIsMalformed = !IsStatusLine(mLine);
    mIsStatusLine = false;
  } else {
    mIsComplete = mLine.empty();
  }
  mLine.clear();
}

} // namespace cuminfield::connection::upstream
