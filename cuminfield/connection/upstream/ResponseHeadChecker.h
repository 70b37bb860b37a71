#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cuminfield::connection::upstream {

/// Checks the bytes of a response head for what evhttp accepts though it is malformed: it reads any
/// number as a status code, of any class, and ends a line, or the whole head, at a null character.
class ResponseHeadChecker
{
public:
  /// Takes the next bytes of the response; those after the head are ignored.
  void Consume(std::string_view aBytes);

  /// True once the bytes consumed are no valid beginning of a response.
  bool IsMalformed() const { return mIsMalformed; }

  /// True once the bytes decide whether the head is malformed.
  bool IsDone() const { return mIsMalformed || mIsComplete; }

  /// Length of the head in bytes, once it is done and not malformed.
  std::size_t HeadSize() const { return mConsumedBytes; }

private:
  void ConsumeLine();

  std::string mLine; ///< The start of the current line, as far as it is checked.
  std::size_t mConsumedBytes = 0;
  bool mIsStatusLine = true;
  bool mIsComplete = false;
  bool mIsMalformed = false;
};

} // namespace cuminfield::connection::upstream
