#include "cuminfield/process/documents/OperatorService.h"

#include "cuminfield/connection/Http.h"
#include "cuminfield/process/state/state.pb.h"
#include "cuminfield/version/document/Document.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::process::documents {

namespace {

OperatorAnswer Explain(int aStatus, const std::string& aDetail)
{
  const nlohmann::json body{ { "status", aStatus }, { "detail", aDetail } };
  return { .status = aStatus, .body = body.dump() };
}

int ToStatus(const core::Error& aError)
{
  switch (aError.kind) {
    case core::ErrorKind::NotFound:
      return connection::kStatusNotFound;
    case core::ErrorKind::InvalidSettings:
    case core::ErrorKind::InvalidRequest:
      return connection::kStatusBadRequest;
    case core::ErrorKind::Timeout:
      return connection::kStatusGatewayTimeout;
    default:
      return connection::kStatusUnavailable;
  }
}

OperatorAnswer Explain(const core::Error& aError)
{
  std::string detail = aError.message;
  if (aError.kind == core::ErrorKind::Timeout) {
    detail += "; it may have been accepted: send it again with the same request id";
  }
  return Explain(ToStatus(aError), detail);
}

} // namespace

OperatorService::OperatorService(Options aOptions)
  : mOptions(aOptions)
{
}

void OperatorService::Change(const DocumentChange& aChange, const Done& aCallback)
{
  if (aChange.operatorName.empty() || aChange.requestId.empty()) {
    aCallback(Explain(connection::kStatusBadRequest, "name the operator and a request id"));
    return;
  }
  if (aChange.from.Empty()) {
    Apply(aChange, aCallback);
  } else {
    Promote(aChange, aCallback);
  }
}

void OperatorService::Apply(const DocumentChange& aChange, const Done& aCallback)
{
  const auto document = version::document::ParseDocument(aChange.text, "document");
  if (!document) {
    aCallback(Explain(document.error()));
    return;
  }
  if (document.value().environment != aChange.environment) {
    aCallback(Explain(connection::kStatusBadRequest,
                      "[environment] name is " + document.value().environment.Text() +
                        "; apply it to that environment or change the name"));
    return;
  }
  state::proto::Command command;
  state::proto::ApplyDocument* apply = command.mutable_apply_document();
  apply->set_environment(aChange.environment.Text());
  apply->set_base_revision(aChange.base);
  apply->set_operator_name(aChange.operatorName);
  apply->set_request_id(aChange.requestId);
  apply->set_text(aChange.text);
  Propose(aChange, std::move(command), aCallback);
}

void OperatorService::Promote(const DocumentChange& aChange, const Done& aCallback)
{
  // Read the revision first, so that exactly the one that the operator saw proven is promoted.
  Read(aChange.from, [this, change = aChange, callback = aCallback](
                       const core::Result<state::proto::EnvironmentRecord>& aRecord) {
    if (!aRecord) {
      callback(Explain(aRecord.error()));
      return;
    }
    state::proto::Command command;
    state::proto::PromoteDocument* promote = command.mutable_promote_document();
    promote->set_from(change.from.Text());
    promote->set_to(change.environment.Text());
    promote->set_base_revision(change.base);
    promote->set_from_revision(aRecord.value().revision());
    promote->set_operator_name(change.operatorName);
    promote->set_request_id(change.requestId);
    Propose(change, std::move(command), callback);
  });
}

void OperatorService::Propose(const DocumentChange& aChange, state::proto::Command aCommand,
                              const Done& aCallback)
{
  aCommand.set_now(mOptions.timers.WallNow().time_since_epoch().count());
  mOptions.group.Propose(
    aCommand.SerializeAsString(), mOptions.limit,
    [this, change = aChange, callback = aCallback](const core::Result<std::string>& aResult) {
      OnAnswer(change, aResult, callback);
    });
}

void OperatorService::OnAnswer(const DocumentChange& aChange,
                               const core::Result<std::string>& aResult, const Done& aCallback)
{
  if (!aResult) {
    aCallback(Explain(aResult.error()));
    return;
  }
  state::proto::Answer answer;
  if (!answer.ParseFromString(aResult.value()) || !answer.has_document()) {
    aCallback(
      Explain(connection::kStatusInternalError, "the group refused it: " + answer.refused()));
    return;
  }
  const state::proto::DocumentAnswer& document = answer.document();
  const nlohmann::json fields{ { "revision", document.revision() },
                               { "environment", aChange.environment.Text() },
                               { "by", document.by() } };
  nlohmann::json body = fields;
  switch (document.verdict()) {
    case state::proto::DOCUMENT_VERDICT_ACCEPTED:
      Publish(aChange.environment);
      aCallback({ .status = connection::kStatusOk, .body = body.dump() });
      return;
    case state::proto::DOCUMENT_VERDICT_CONFLICT:
      body["status"] = connection::kStatusConflict;
      body["detail"] = document.environment() + " is at revision " +
                       std::to_string(document.revision()) + ", accepted from " + document.by() +
                       "; read it, make the change again from it and give it as base";
      aCallback({ .status = connection::kStatusConflict, .body = body.dump() });
      return;
    case state::proto::DOCUMENT_VERDICT_REQUEST_REUSED:
      aCallback(Explain(connection::kStatusConflict,
                        "this request id was used for another change; use a new one"));
      return;
    case state::proto::DOCUMENT_VERDICT_NOT_FOUND:
      aCallback(
        Explain(connection::kStatusNotFound, "no document is in force there; apply one first"));
      return;
    default:
      aCallback(Explain(connection::kStatusBadRequest,
                        "refused: a name is missing or the document is too large; correct it"));
      return;
  }
}

void OperatorService::Publish(const core::EnvironmentId& aEnvironment)
{
  Read(aEnvironment, [this](const core::Result<state::proto::EnvironmentRecord>& aRecord) {
    if (aRecord) {
      mOptions.spread.Offer(aRecord.value());
    }
  });
}

void OperatorService::Read(
  const core::EnvironmentId& aEnvironment,
  std::function<void(core::Result<state::proto::EnvironmentRecord>)> aCallback)
{
  state::proto::Query query;
  query.mutable_environment()->set_environment(aEnvironment.Text());
  mOptions.group.Query(query.SerializeAsString(), mOptions.limit,
                       [environment = aEnvironment.Text(),
                        callback = std::move(aCallback)](const core::Result<std::string>& aResult) {
                         if (!aResult) {
                           callback(aResult.error());
                           return;
                         }
                         state::proto::QueryAnswer answer;
                         if (!answer.ParseFromString(aResult.value()) ||
                             !answer.environment().found()) {
                           callback(core::Error{ .kind = core::ErrorKind::NotFound,
                                                 .message = "environment " + environment +
                                                            " has no document; apply one first" });
                           return;
                         }
                         callback(answer.environment().record());
                       });
}

} // namespace cuminfield::process::documents
