#pragma once

#include "cuminfield/request/exchange/Exchange.h"
#include "cuminfield/request/exchange/RequestReader.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cuminfield::request::exchange {

/// Owns all active requests of this host. Creates an Exchange for each arriving request and passes
/// the scheduler's decisions to it.
class ExchangeTable
  : public connection::caller::CallerHandler
  , public SchedulerListener
{
public:
  struct Options
  {
    ExchangeSettings settings{};
    core::HostId host;
    /// Incarnation of this host; makes request ids unique across restarts.
    std::uint64_t incarnation = 0;
    core::TimerService& timers;
    claims::ClaimStorage& claims;
    connection::upstream::UpstreamTransport& transport;
    ExchangeObserver& observer;
    /// The document in force, or null before the first one.
    std::function<std::shared_ptr<const version::document::DocumentIndex>()> document;
  };

  explicit ExchangeTable(Options aOptions);

  /// Must be called before the first request.
  void SetScheduler(Scheduler& aScheduler) { mScheduler = &aScheduler; }

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override;
  void OnShed(const core::RequestId& aRequest, ShedReason aReason,
              core::Duration aRetryAfter) override;

  /// From now on new requests get `not-run`; active requests continue.
  void BeginShutdown() { mStopping = true; }

  /// Ends all active requests and sends their callers outcomes that are true at this point.
  void AbortAll();

  /// Number of active requests.
  std::size_t Size() const { return mExchanges.size(); }

private:
  void RespondHealth(connection::caller::CallerChannel& aChannel) const;
  void Reject(connection::caller::CallerChannel& aChannel, bool aHasKey, Problem aProblem) const;
  void StartExchange(IncomingRequest aRequest,
                     std::shared_ptr<connection::caller::CallerChannel> aChannel);
  void Remove(const core::RequestId& aId);

  Options mOptions;
  Scheduler* mScheduler = nullptr;
  RequestReader mReader;
  bool mStopping = false;
  std::unordered_map<core::RequestId, std::unique_ptr<Exchange>> mExchanges;
  std::vector<std::unique_ptr<Exchange>> mEndedExchanges; ///< Destroyed later from the event loop.
  core::TimerHandle mCleanupTimer;
};

} // namespace cuminfield::request::exchange
