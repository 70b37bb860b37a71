#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cuminfield::core {

/// A strongly typed string identifier. `Tag` only distinguishes the types.
template<typename Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aText)
    : mText(std::move(aText))
  {
  }

  /// Returns the name as written in settings, documents and messages.
  const std::string& Text() const { return mText; }

  /// True for the default value, which identifies nothing.
  bool IsEmpty() const { return mText.empty(); }

  auto operator<=>(const Name&) const = default;

private:
  std::string mText;
};

/// A strongly typed counter or index.
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
/// A region: data centres with fast links between them. Traffic between regions is billed by
/// volume.
using RegionId = Name<struct RegionTag>;
/// A customer's workspace, from the environment document.
using WorkspaceId = Name<struct WorkspaceTag>;
/// A tier of requests, from the environment document.
using TierId = Name<struct TierTag>;
/// A service that upstreams offer, from the environment document.
using ServiceId = Name<struct ServiceTag>;
/// A version of a service, as its upstreams announce it.
using VersionId = Name<struct VersionTag>;
/// A route of a service; failures are tracked for each route.
using RouteId = Name<struct RouteTag>;
/// An announced upstream; it chooses the name and retains it across restarts.
using UpstreamId = Name<struct UpstreamTag>;
/// An environment (such as trial or production), from its document.
using EnvironmentId = Name<struct EnvironmentTag>;
/// A version move, from the environment document.
using MoveId = Name<struct MoveTag>;
/// A request; unique across all hosts.
using RequestId = Name<struct RequestTag>;
/// A part of a prompt; prompts that share a part give it the same id.
using PromptPartId = Name<struct PromptPartTag>;
/// A caller's idempotency key.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// A replicated log group: `documents`, or the data centre whose claims it stores.
using GroupId = Name<struct GroupTag>;

/// Incarnation of a process or data folder; differs after each start that lost its state.
using Incarnation = Number<struct IncarnationTag>;
/// Revision of an environment's document; never decreases.
using Revision = Number<struct RevisionTag>;
/// Election term of a replicated log.
using Term = Number<struct TermTag>;
/// Position in a replicated log; the first entry has index 1.
using LogIndex = Number<struct LogIndexTag>;
/// Fencing number in every control request to an upstream; a newer lease has a larger one.
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
