#include "cuminfield/request/exchange/RequestReader.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace cuminfield::request::exchange {

namespace {

constexpr std::size_t kPrefixBlockBytes = 256; ///< Prompt bytes covered by one prefix hash.
constexpr std::int64_t kBytesPerToken = 4;     ///< Typical ratio for text in Latin script.
constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokensLimit = 1'000'000;

struct EngineBody
{
  std::string prompt;
  std::string model;
  std::int64_t maxTokens = kDefaultMaxTokens;
  bool stream = false;
};

Problem MakeClientError(int aStatus, std::string aTitle, std::string aDetail)
{
  return { .status = aStatus,
           .title = std::move(aTitle),
           .detail = std::move(aDetail),
           .outcome = Outcome::NotRun };
}

/// Concatenates the texts of all chat messages in order.
std::string JoinMessages(const nlohmann::json& aMessages)
{
  std::string text;
  for (const nlohmann::json& it : aMessages) {
    if (!it.is_object()) {
      continue;
    }
    text += it.value("role", "") + ":";
    const auto content = it.find("content");
    if (content != it.end() && content->is_string()) {
      text += content->get<std::string>();
    }
    text += "\n";
  }
  return text;
}

std::optional<EngineBody> ParseEngineBody(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  EngineBody body;
  const auto prompt = json.find("prompt");
  const auto messages = json.find("messages");
  if (prompt != json.end() && prompt->is_string()) {
    body.prompt = prompt->get<std::string>();
  } else if (messages != json.end() && messages->is_array()) {
    body.prompt = JoinMessages(*messages);
  } else {
    return std::nullopt;
  }
  const auto model = json.find("model");
  if (model != json.end() && model->is_string()) {
    body.model = model->get<std::string>();
  }
  const auto maxTokens = json.find("max_tokens");
  if (maxTokens != json.end()) {
    if (!maxTokens->is_number_integer()) {
      return std::nullopt;
    }
    body.maxTokens = maxTokens->get<std::int64_t>();
  }
  const auto stream = json.find("stream");
  body.stream = stream != json.end() && stream->is_boolean() && stream->get<bool>();
  return body;
}

std::uint64_t DigestRequest(const connection::caller::CallerRequest& aRequest)
{
  std::uint64_t digest = XXH64(aRequest.method.data(), aRequest.method.size(), 0);
  digest = XXH64(aRequest.target.data(), aRequest.target.size(), digest);
  return XXH64(aRequest.body.data(), aRequest.body.size(), digest);
}

std::string ToHex(std::uint64_t aValue)
{
  std::array<char, 16> buf{};
  const auto [end, error] = std::to_chars(buf.data(), buf.data() + buf.size(), aValue, 16);
  return { buf.data(), end };
}

} // namespace

RequestReader::RequestReader(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

std::variant<IncomingRequest, Problem> RequestReader::Read(
  connection::caller::CallerRequest aRequest, const version::document::DocumentIndex& aDocument)
{
  using connection::FindHeader;
  using version::document::DocumentIndex;

  // Workspace and tier.
  const core::WorkspaceId workspaceId(
    std::string(FindHeader(aRequest.headers, connection::kWorkspaceHeader)));
  const auto* workspace = aDocument.FindWorkspace(workspaceId);
  if (!workspace) {
    return MakeClientError(
      connection::kStatusForbidden, "unknown workspace",
      "Header X-Workspace names no workspace of the document; send one that does.");
  }
  const core::TierId tierId(std::string(FindHeader(aRequest.headers, connection::kTierHeader)));
  const auto* tier = aDocument.FindTier(tierId);
  if (!tier || !DocumentIndex::MayUseTier(*workspace, tierId)) {
    return MakeClientError(
      connection::kStatusForbidden, "unknown tier",
      "Header X-Tier names no tier that this workspace may use; send one it may.");
  }

  // Route and service.
  if (!aDocument.HasRoute(aRequest.method, aRequest.path)) {
    return MakeClientError(connection::kStatusNotFound, "unknown route",
                           "No route of the document has this method and path; check both.");
  }
  const auto body = ParseEngineBody(aRequest.body);
  const std::string model = body ? body->model : std::string();
  const auto* route = aDocument.FindRoute(aRequest.method, aRequest.path, model);
  const auto* service = aDocument.FindService(route->service);
  if (!service) {
    return MakeClientError(connection::kStatusNotFound, "unknown service",
                           "The route's service is not in the document; ask the operators.");
  }
  const bool engine = service->kind == version::document::ServiceKind::Engine;
  if (engine && (!body || body->maxTokens < 1 || body->maxTokens > kMaxTokensLimit)) {
    return MakeClientError(
      connection::kStatusBadRequest, "malformed body",
      "Send JSON with `prompt` or `messages`, and `max_tokens` from 1 to 1000000.");
  }

  // Idempotency key and resume offset.
  IncomingRequest incoming;
  const std::string key(FindHeader(aRequest.headers, connection::kIdempotencyKeyHeader));
  if (key.empty() && !route->idempotent) {
    return MakeClientError(
      connection::kStatusBadRequest, "key required",
      "This route may run only once: send a UUID version 7 as Idempotency-Key.");
  }
  if (!key.empty()) {
    if (!ParseKeyTimestamp(key)) {
      return MakeClientError(
        connection::kStatusBadRequest, "malformed key",
        "Idempotency-Key must be a UUID of version 7 (RFC 9562) in lower case.");
    }
    incoming.claim = claims::ClaimKey{ .home = workspace->home,
                                       .workspace = workspaceId,
                                       .key = core::IdempotencyKey(key) };
  }
  const std::string_view lastEvent = FindHeader(aRequest.headers, connection::kLastEventIdHeader);
  if (!lastEvent.empty()) {
    std::uint64_t offset = 0;
    const auto [end, error] =
      std::from_chars(lastEvent.data(), lastEvent.data() + lastEvent.size(), offset);
    if (error != std::errc() || end != lastEvent.data() + lastEvent.size() || !incoming.claim) {
      return MakeClientError(
        connection::kStatusBadRequest, "malformed Last-Event-ID",
        "Send the number of the last event, together with the Idempotency-Key.");
    }
    incoming.resumeOffset = offset + 1;
  }

  // Scheduling parameters.
  const core::Instant now = mOptions.timers.Now();
  RequestSpec& spec = incoming.spec;
  spec.id = MakeRequestId();
  spec.workspace = workspaceId;
  spec.weight = workspace->weight;
  spec.tier = tier->rank;
  spec.service = route->service;
  spec.route = route->id;
  spec.arrival = now;
  spec.deadline = now + tier->deadline;
  spec.firstTokenTarget = tier->firstTokenTarget;
  spec.tokenGapTarget = tier->tokenGapTarget;
  spec.retryable = route->idempotent;
  if (engine) {
    spec.promptTokens = { static_cast<std::int64_t>(body->prompt.size()) / kBytesPerToken + 1 };
    spec.maxOutputTokens = { body->maxTokens };
    spec.prefixHashes = HashPrefix(body->prompt);
    incoming.stream = body->stream;
  }
  incoming.engine = engine;
  incoming.digest = DigestRequest(aRequest);
  incoming.raw = std::move(aRequest);
  return incoming;
}

core::RequestId RequestReader::MakeRequestId()
{
  return core::RequestId(mOptions.host.Text() + "-" + ToHex(mOptions.incarnation) + "-" +
                         ToHex(mNextRequestNumber++));
}

std::vector<PrefixHash> RequestReader::HashPrefix(std::string_view aPrompt)
{
  std::vector<PrefixHash> hashes;
  hashes.reserve(aPrompt.size() / kPrefixBlockBytes);
  PrefixHash last = 0;
  for (std::size_t begin = 0; begin + kPrefixBlockBytes <= aPrompt.size();
       begin += kPrefixBlockBytes) {
    last = XXH64(aPrompt.data() + begin, kPrefixBlockBytes, last);
    hashes.push_back(last);
  }
  return hashes;
}

std::optional<std::int64_t> RequestReader::ParseKeyTimestamp(std::string_view aKey)
{
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionAt = 14;
  constexpr std::size_t kVariantAt = 19;
  if (aKey.size() != kLength || aKey[kVersionAt] != '7' ||
      std::string_view("89ab").find(aKey[kVariantAt]) == std::string_view::npos) {
    return std::nullopt;
  }
  std::string digits;
  for (std::size_t n = 0; n < aKey.size(); ++n) {
    const bool isHyphen = n == 8 || n == 13 || n == 18 || n == 23;
    if (isHyphen != (aKey[n] == '-')) {
      return std::nullopt;
    }
    if (isHyphen) {
      continue;
    }
    if (std::string_view("0123456789abcdef").find(aKey[n]) == std::string_view::npos) {
      return std::nullopt;
    }
    digits += aKey[n];
  }
  constexpr std::size_t kTimeDigits = 12;
  std::int64_t time = 0;
  std::from_chars(digits.data(), digits.data() + kTimeDigits, time, 16);
  return time;
}

} // namespace cuminfield::request::exchange
