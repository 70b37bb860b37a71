#pragma once

#include "cuminfield/request/exchange/Exchange.h"
#include "cuminfield/request/exchange/RequestReader.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cuminfield::request::exchange {

/// All requests of this host that have not ended: makes an Exchange for each that arrives and
/// hands it the scheduler's decisions.
class ExchangeTable
  : public connection::caller::CallerHandler
  , public SchedulerListener
{
public:
  struct Options
  {
    ExchangeSettings settings{};
    core::HostId host;
    std::uint64_t incarnation = 0; ///< Differs for each life of the host.
    core::TimerService& timers;
    claims::ClaimStorage& claims;
    connection::upstream::UpstreamTransport& transport;
    ExchangeObserver& observer;
    /// The document in force, or null before the first.
    std::function<std::shared_ptr<const version::document::DocumentIndex>()> document;
  };

  explicit ExchangeTable(Options aOptions);

  /// Names the scheduler; before the first request.
  void SetScheduler(Scheduler& aScheduler) { mScheduler = &aScheduler; }

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override;
  void OnShed(const core::RequestId& aRequest, ShedReason aReason,
              core::Duration aRetryAfter) override;

  /// From now on new requests are told `not-run`; those here go on to their end.
  void BeginShutdown() { mStopping = true; }

  /// Ends every request that is left, telling its caller what is true.
  void AbortAll();

  /// Requests that have not ended.
  std::size_t Size() const { return mExchanges.size(); }

private:
  void RespondHealth(connection::caller::CallerChannel& aChannel) const;
  void Reject(connection::caller::CallerChannel& aChannel, bool aKeyed, Problem aProblem) const;
  void StartExchange(IncomingRequest aRequest,
                     std::shared_ptr<connection::caller::CallerChannel> aChannel);
  void Remove(const core::RequestId& aId);

  Options mOptions;
  Scheduler* mScheduler = nullptr;
  RequestReader mReader;
  bool mStopping = false;
  std::unordered_map<core::RequestId, std::unique_ptr<Exchange>> mExchanges;
  std::vector<std::unique_ptr<Exchange>> mEndedExchanges; ///< Destroyed from the loop.
  core::TimerHandle mCleanupTimer;
};

} // namespace cuminfield::request::exchange
