#include "cuminfield/process/documents/OperatorService.h"

#include "cuminfield/connection/Http.h"
#include "cuminfield/process/state/state.pb.h"
#include "cuminfield/version/document/Document.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::process::documents {

namespace {

OperatorResponse MakeErrorResponse(int aStatus, const std::string& aDetail)
{
  const nlohmann::json body{ { "status", aStatus }, { "detail", aDetail } };
  return { .status = aStatus, .body = body.dump() };
}

int ToHttpStatus(const core::Error& aError)
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

OperatorResponse MakeErrorResponse(const core::Error& aError)
{
  std::string detail = aError.message;
  if (aError.kind == core::ErrorKind::Timeout) {
    detail += "; it may have been accepted: send it again with the same request id";
  }
  return MakeErrorResponse(ToHttpStatus(aError), detail);
}

} // namespace

OperatorService::OperatorService(Options aOptions)
  : mOptions(aOptions)
{
}

void OperatorService::SubmitChange(const DocumentChange& aChange, const Callback& aCallback)
{
  if (aChange.operatorName.empty() || aChange.requestId.empty()) {
    aCallback(
      MakeErrorResponse(connection::kStatusBadRequest, "name the operator and a request id"));
    return;
  }
  if (aChange.sourceEnvironment.IsEmpty()) {
    ProposeDocument(aChange, aCallback);
  } else {
    ProposePromotion(aChange, aCallback);
  }
}

void OperatorService::ProposeDocument(const DocumentChange& aChange, const Callback& aCallback)
{
  const auto document = version::document::ParseDocument(aChange.text, "document");
  if (!document) {
    aCallback(MakeErrorResponse(document.error()));
    return;
  }
  if (document.value().environment != aChange.environment) {
    aCallback(MakeErrorResponse(connection::kStatusBadRequest,
                                "[environment] name is " + document.value().environment.Text() +
                                  "; apply it to that environment or change the name"));
    return;
  }
  state::proto::Command command;
  state::proto::ApplyDocument* apply = command.mutable_apply_document();
  apply->set_environment(aChange.environment.Text());
  apply->set_base_revision(aChange.baseRevision);
  apply->set_operator_name(aChange.operatorName);
  apply->set_request_id(aChange.requestId);
  apply->set_text(aChange.text);
  ProposeCommand(aChange, std::move(command), aCallback);
}

void OperatorService::ProposePromotion(const DocumentChange& aChange, const Callback& aCallback)
{
  // Read the revision first, so that exactly the one that the operator saw proven is promoted.
  ReadRecord(aChange.sourceEnvironment,
             [this, change = aChange,
              callback = aCallback](const core::Result<state::proto::EnvironmentRecord>& aRecord) {
               if (!aRecord) {
                 callback(MakeErrorResponse(aRecord.error()));
                 return;
               }
               state::proto::Command command;
               state::proto::PromoteDocument* promote = command.mutable_promote_document();
               promote->set_from(change.sourceEnvironment.Text());
               promote->set_to(change.environment.Text());
               promote->set_base_revision(change.baseRevision);
               promote->set_from_revision(aRecord.value().revision());
               promote->set_operator_name(change.operatorName);
               promote->set_request_id(change.requestId);
               ProposeCommand(change, std::move(command), callback);
             });
}

void OperatorService::ProposeCommand(const DocumentChange& aChange, state::proto::Command aCommand,
                                     const Callback& aCallback)
{
  aCommand.set_now(mOptions.timers.WallNow().time_since_epoch().count());
  mOptions.group.Propose(
    aCommand.SerializeAsString(), mOptions.timeout,
    [this, change = aChange, callback = aCallback](const core::Result<std::string>& aResult) {
      OnCommandApplied(change, aResult, callback);
    });
}

void OperatorService::OnCommandApplied(const DocumentChange& aChange,
                                       const core::Result<std::string>& aResult,
                                       const Callback& aCallback)
{
  if (!aResult) {
    aCallback(MakeErrorResponse(aResult.error()));
    return;
  }
  state::proto::Answer answer;
  if (!answer.ParseFromString(aResult.value()) || !answer.has_document()) {
    aCallback(MakeErrorResponse(connection::kStatusInternalError,
                                "the group refused it: " + answer.refused()));
    return;
  }
  const state::proto::DocumentAnswer& document = answer.document();
  const nlohmann::json fields{ { "revision", document.revision() },
                               { "environment", aChange.environment.Text() },
                               { "by", document.by() } };
  nlohmann::json body = fields;
  switch (document.verdict()) {
    case state::proto::DOCUMENT_VERDICT_ACCEPTED:
      DistributeRecord(aChange.environment);
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
      aCallback(MakeErrorResponse(connection::kStatusConflict,
                                  "this request id was used for another change; use a new one"));
      return;
    case state::proto::DOCUMENT_VERDICT_NOT_FOUND:
      aCallback(MakeErrorResponse(connection::kStatusNotFound,
                                  "no document is in force there; apply one first"));
      return;
    default:
      aCallback(
        MakeErrorResponse(connection::kStatusBadRequest,
                          "refused: a name is missing or the document is too large; correct it"));
      return;
  }
}

void OperatorService::DistributeRecord(const core::EnvironmentId& aEnvironment)
{
  ReadRecord(aEnvironment, [this](const core::Result<state::proto::EnvironmentRecord>& aRecord) {
    if (aRecord) {
      mOptions.distributor.StoreIfNewer(aRecord.value());
    }
  });
}

void OperatorService::ReadRecord(
  const core::EnvironmentId& aEnvironment,
  std::function<void(core::Result<state::proto::EnvironmentRecord>)> aCallback)
{
  state::proto::Query query;
  query.mutable_environment()->set_environment(aEnvironment.Text());
  mOptions.group.Query(query.SerializeAsString(), mOptions.timeout,
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
