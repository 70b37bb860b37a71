#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cuminfield::core {

/// A name that cannot be mixed up with a name of another kind. `Tag` only tells the kinds apart.
template<typename Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aText)
    : mText(std::move(aText))
  {
  }

  /// The name as it stands in settings, documents and messages.
  const std::string& Text() const { return mText; }

  /// True for the default value, which names nothing.
  bool Empty() const { return mText.empty(); }

  auto operator<=>(const Name&) const = default;

private:
  std::string mText;
};

/// A counter or index that cannot be mixed up with one of another kind.
template<typename Tag>
class Number
{
public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return mValue; }

  /// The number that follows this one.
  constexpr Number Next() const { return Number(mValue + 1); }

  constexpr auto operator<=>(const Number&) const = default;

private:
  std::uint64_t mValue = 0;
};

template<typename Tag>
std::ostream& operator<<(std::ostream& aStream, const Name<Tag>& aName)
{
  return aStream << aName.Text();
}

template<typename Tag>
std::ostream& operator<<(std::ostream& aStream, const Number<Tag>& aNumber)
{
  return aStream << aNumber.Value();
}

/// A host of the system, from its settings.
using HostId = Name<struct HostTag>;
/// A data centre, from the settings of its hosts and upstreams.
using DataCentreId = Name<struct DataCentreTag>;
/// A region: data centres joined by fast links. Traffic between regions is paid by volume.
using RegionId = Name<struct RegionTag>;
/// A customer's workspace, from the environment document.
using WorkspaceId = Name<struct WorkspaceTag>;
/// A tier of requests, from the environment document.
using TierId = Name<struct TierTag>;
/// A service that upstreams offer, from the environment document.
using ServiceId = Name<struct ServiceTag>;
/// A version of a service, as its upstreams announce it.
using VersionId = Name<struct VersionTag>;
/// A route of a service: the unit that faults are watched on.
using RouteId = Name<struct RouteTag>;
/// One announced upstream: a name that it chose and keeps over restarts.
using UpstreamId = Name<struct UpstreamTag>;
/// An environment (trial, production), from its document.
using EnvironmentId = Name<struct EnvironmentTag>;
/// A version move, from the environment document.
using MoveId = Name<struct MoveTag>;
/// One request, unique over all hosts.
using RequestId = Name<struct RequestTag>;
/// A caller's idempotency key.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// A replicated log group: `documents`, or the data centre whose claims it keeps.
using GroupId = Name<struct GroupTag>;

/// Life of a process or data folder: differs each time it starts over without its memory.
using Incarnation = Number<struct IncarnationTag>;
/// Revision of an environment's document; never falls.
using Revision = Number<struct RevisionTag>;
/// Election term of a replicated log.
using Term = Number<struct TermTag>;
/// Position in a replicated log; the first entry has index 1.
using LogIndex = Number<struct LogIndexTag>;
/// Fencing number carried by every order to an upstream; a newer lease has a larger one.
using FencingNumber = Number<struct FencingTag>;

} // namespace cuminfield::core

template<typename Tag>
struct std::hash<cuminfield::core::Name<Tag>>
{
  std::size_t operator()(const cuminfield::core::Name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>()(aName.Text());
  }
};

template<typename Tag>
struct std::hash<cuminfield::core::Number<Tag>>
{
  std::size_t operator()(const cuminfield::core::Number<Tag>& aNumber) const noexcept
  {
    return std::hash<std::uint64_t>()(aNumber.Value());
  }
};
