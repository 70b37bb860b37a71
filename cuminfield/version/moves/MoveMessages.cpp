#include "cuminfield/version/moves/MoveMessages.h"

#include "cuminfield/version/moves/moves.pb.h"

#include <algorithm>

namespace cuminfield::version::moves {

namespace {

using core::ErrorKind;
using core::Fail;

auto CorruptMessage(const char* aMessageName)
{
  return Fail(ErrorKind::Corrupt, std::string("not a ") + aMessageName +
                                    " message; check that all hosts run compatible versions");
}

template<typename Message>
bool Parse(Message& aMessage, std::string_view aBytes)
{
  return aMessage.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
}

proto::Phase ToProto(MovePhase aPhase)
{
  return static_cast<proto::Phase>(aPhase);
}

bool IsKnownPhase(proto::Phase aPhase)
{
  return aPhase >= proto::WAITING && aPhase <= proto::UNDONE;
}

MovePhase FromProto(proto::Phase aPhase)
{
  return static_cast<MovePhase>(aPhase);
}

void EncodeObservation(const Observation& aObservation, proto::Observation& aMessage)
{
  aMessage.set_service(aObservation.service.Text());
  aMessage.set_version(aObservation.version.Text());
  aMessage.set_route(aObservation.route.Text());
  aMessage.set_succeeded(aObservation.succeeded);
  aMessage.set_failed(aObservation.failed);
  for (std::size_t it = 0; it < aObservation.firstToken.size(); ++it) {
    aMessage.add_first_token(aObservation.firstToken[it]);
    aMessage.add_token_gap(aObservation.tokenGap[it]);
  }
}

bool DecodeObservation(const proto::Observation& aMessage, Observation& aObservation)
{
  const auto classes = static_cast<int>(aObservation.firstToken.size());
  if (aMessage.first_token_size() != classes || aMessage.token_gap_size() != classes) {
    return false;
  }
  aObservation.service = core::ServiceId(aMessage.service());
  aObservation.version = core::VersionId(aMessage.version());
  aObservation.route = core::RouteId(aMessage.route());
  aObservation.succeeded = aMessage.succeeded();
  aObservation.failed = aMessage.failed();
  std::copy(aMessage.first_token().begin(), aMessage.first_token().end(),
            aObservation.firstToken.begin());
  std::copy(aMessage.token_gap().begin(), aMessage.token_gap().end(),
            aObservation.tokenGap.begin());
  return true;
}

} // namespace

std::string Encode(const ObservationReport& aReport)
{
  proto::ObservationReport message;
  message.set_host(aReport.host.Text());
  message.set_data_centre(aReport.dataCentre.Text());
  message.set_incarnation(aReport.incarnation.Value());
  message.set_sequence(aReport.sequence);
  for (const Observation& it : aReport.totals) {
    EncodeObservation(it, *message.add_totals());
  }
  for (const core::MoveId& it : aReport.trippedMoves) {
    message.add_tripped(it.Text());
  }
  return message.SerializeAsString();
}

std::string Encode(const ShareUpdate& aUpdate)
{
  proto::ShareUpdate message;
  message.set_move(aUpdate.move.Text());
  message.set_service(aUpdate.service.Text());
  message.set_from(aUpdate.from.Text());
  message.set_to(aUpdate.to.Text());
  message.set_data_centre(aUpdate.dataCentre.Text());
  message.set_revision(aUpdate.revision);
  message.set_phase(ToProto(aUpdate.phase));
  message.set_share(aUpdate.share);
  message.set_rate_per_second(aUpdate.maxRequestsPerSecond);
  return message.SerializeAsString();
}

std::string Encode(const MoveVerdict& aVerdict)
{
  proto::MoveVerdict message;
  message.set_move(aVerdict.move.Text());
  message.set_judge(aVerdict.evaluator.Text());
  message.set_bad(aVerdict.bad);
  message.set_reason(aVerdict.reason);
  return message.SerializeAsString();
}

std::string Encode(const MoveState& aState)
{
  proto::MoveState message;
  message.set_move(aState.move.Text());
  message.set_phase(ToProto(aState.phase));
  message.set_step(aState.step);
  message.set_share(aState.share);
  message.set_revision(aState.revision);
  message.set_life(aState.incarnation);
  message.set_begun_us(aState.canaryStart.time_since_epoch().count());
  message.set_requests_seen(aState.evaluatedRequests);
  message.set_reason(aState.reason);
  return message.SerializeAsString();
}

std::string Encode(const EvaluatorState& aState)
{
  proto::JudgeState message;
  message.set_move(aState.move.Text());
  message.set_life(aState.incarnation);
  message.set_bad(aState.bad);
  message.set_reason(aState.reason);
  return message.SerializeAsString();
}

core::Result<ObservationReport> DecodeReport(std::string_view aBytes)
{
  proto::ObservationReport message;
  if (!Parse(message, aBytes) || message.host().empty()) {
    return CorruptMessage("observation report");
  }
  ObservationReport report;
  report.host = core::HostId(message.host());
  report.dataCentre = core::DataCentreId(message.data_centre());
  report.incarnation = core::Incarnation(message.incarnation());
  report.sequence = message.sequence();
  for (const proto::Observation& it : message.totals()) {
    if (!DecodeObservation(it, report.totals.emplace_back())) {
      return CorruptMessage("observation report");
    }
  }
  for (const std::string& it : message.tripped()) {
    report.trippedMoves.emplace_back(it);
  }
  return report;
}

core::Result<ShareUpdate> DecodeShareUpdate(std::string_view aBytes)
{
  proto::ShareUpdate message;
  if (!Parse(message, aBytes) || message.move().empty() || !IsKnownPhase(message.phase())) {
    return CorruptMessage("share update");
  }
  ShareUpdate update;
  update.move = core::MoveId(message.move());
  update.service = core::ServiceId(message.service());
  update.from = core::VersionId(message.from());
  update.to = core::VersionId(message.to());
  update.dataCentre = core::DataCentreId(message.data_centre());
  update.revision = message.revision();
  update.phase = FromProto(message.phase());
  update.share = message.share();
  update.maxRequestsPerSecond = message.rate_per_second();
  return update;
}

core::Result<MoveVerdict> DecodeVerdict(std::string_view aBytes)
{
  proto::MoveVerdict message;
  if (!Parse(message, aBytes) || message.move().empty()) {
    return CorruptMessage("verdict");
  }
  MoveVerdict verdict;
  verdict.move = core::MoveId(message.move());
  verdict.evaluator = core::DataCentreId(message.judge());
  verdict.bad = message.bad();
  verdict.reason = message.reason();
  return verdict;
}

core::Result<MoveState> DecodeMoveState(std::string_view aBytes)
{
  proto::MoveState message;
  if (!Parse(message, aBytes) || message.move().empty() || !IsKnownPhase(message.phase())) {
    return CorruptMessage("move state");
  }
  MoveState state;
  state.move = core::MoveId(message.move());
  state.phase = FromProto(message.phase());
  state.step = message.step();
  state.share = message.share();
  state.revision = message.revision();
  state.incarnation = message.life();
  state.canaryStart = core::WallTime(core::Duration(message.begun_us()));
  state.evaluatedRequests = message.requests_seen();
  state.reason = message.reason();
  return state;
}

core::Result<EvaluatorState> DecodeEvaluatorState(std::string_view aBytes)
{
  proto::JudgeState message;
  if (!Parse(message, aBytes) || message.move().empty()) {
    return CorruptMessage("judge state");
  }
  EvaluatorState state;
  state.move = core::MoveId(message.move());
  state.incarnation = message.life();
  state.bad = message.bad();
  state.reason = message.reason();
  return state;
}

} // namespace cuminfield::version::moves
