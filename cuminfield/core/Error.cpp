#include "cuminfield/core/Error.h"

namespace cuminfield::core {

const char* ToString(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidSettings:
      return "invalid-settings";
    case ErrorKind::InvalidRequest:
      return "invalid-request";
    case ErrorKind::NotFound:
      return "not-found";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::NotLeader:
      return "not-leader";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::Corrupt:
      return "corrupt";
    case ErrorKind::DiskFull:
      return "disk-full";
    case ErrorKind::Io:
      return "io";
    case ErrorKind::Internal:
      return "internal";
  }
  return "internal";
}

std::string Describe(const Error& aError)
{
  return std::string(ToString(aError.kind)) + ": " + aError.message;
}

} // namespace cuminfield::core
