#include "cuminfield/process/command/Commands.h"

#include "cuminfield/connection/Query.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/TextFile.h"
#include "cuminfield/process/command/ControlClient.h"
#include "cuminfield/process/command/ShowTable.h"
#include "cuminfield/process/host/Host.h"
#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/version/document/Document.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>

namespace cuminfield::process::command {

namespace {

namespace po = boost::program_options;

/// Attempts to send a change whose response is lost; all use the same request id.
constexpr int kMaxSendAttempts = 5;

ExitCode PrintError(const std::string& aMessage, ExitCode aCode)
{
  std::cerr << "cuminfield: " << aMessage << "\n";
  return aCode;
}

/// A parsed command line, or the exit code when the command ends after parsing.
struct ParsedCommandLine
{
  po::variables_map values;
  std::optional<ExitCode> exitCode;
};

ParsedCommandLine ParseCommandLine(const std::string& aCommand, const std::string& aSummary,
                                   const std::vector<std::string>& aArguments,
                                   po::options_description& aOptions, const char* aPositional)
{
  ParsedCommandLine parsed;
  aOptions.add_options()("help", "prints this help");
  po::positional_options_description positional;
  if (aPositional) {
    positional.add(aPositional, 1);
  }
  try {
    po::store(po::command_line_parser(aArguments).options(aOptions).positional(positional).run(),
              parsed.values);
    if (parsed.values.contains("help")) {
      std::cout << "cuminfield " << aCommand << (aPositional ? " FILE" : "") << ": " << aSummary
                << "\n"
                << aOptions;
      parsed.exitCode = ExitCode::Ok;
      return parsed;
    }
    po::notify(parsed.values);
  } catch (const po::error& error) {
    parsed.exitCode = PrintError(
      std::string(error.what()) + "; see cuminfield " + aCommand + " --help", ExitCode::Usage);
  }
  return parsed;
}

ExitCode Serve(const std::vector<std::string>& aArguments)
{
  po::options_description options;
  std::string path;
  options.add_options()("settings", po::value(&path)->required(), "host settings file (INI)");
  const ParsedCommandLine parsed = ParseCommandLine(
    "serve", "runs one host until SIGTERM or SIGINT", aArguments, options, nullptr);
  if (parsed.exitCode) {
    return *parsed.exitCode;
  }
  const auto settings = settings::LoadHostSettings(path);
  if (!settings) {
    return PrintError(core::Describe(settings.error()), ExitCode::Failed);
  }
  logging::Initialize(settings.value().logLevel, settings.value().logFormat, settings.value().id);
  std::signal(SIGPIPE, SIG_IGN);
  core::EventLoop loop;
  host::Host host({ .settings = settings.value(), .loop = loop });
  if (const auto started = host.Start(); !started) {
    return PrintError(core::Describe(started.error()), ExitCode::Failed);
  }
  loop.AddSignalHandler(SIGTERM, [&host] { host.Shutdown(); });
  loop.AddSignalHandler(SIGINT, [&host] { host.Shutdown(); });
  loop.Run();
  logging::ShutDown();
  return host.ExitCode() == 0 ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode Check(const std::vector<std::string>& aArguments)
{
  po::options_description options;
  std::string path;
  options.add_options()("file", po::value(&path)->required(),
                        "host settings file or environment document");
  const ParsedCommandLine parsed = ParseCommandLine(
    "check", "checks a host settings file or an environment document", aArguments, options, "file");
  return parsed.exitCode ? *parsed.exitCode : CheckFile(path);
}

/// Adds the option that all commands to a host share.
void AddControlOption(po::options_description& aOptions, std::string& aControl)
{
  aOptions.add_options()(
    "control", po::value(&aControl)->required(),
    "control addresses of hosts, ADDRESS:PORT[,...]; the first to respond is used");
}

/// Extracts the detail from a JSON error response, or returns the body as it is.
std::string ParseDetail(const ControlResponse& aResponse)
{
  const auto body = nlohmann::json::parse(aResponse.body, nullptr, false);
  return body.is_object() ? body.value("detail", aResponse.body) : aResponse.body;
}

/// Fetches the environment's current revision, 0 for none, or returns the exit code on failure.
std::variant<std::uint64_t, ExitCode> FetchCurrentRevision(ControlClient& aClient,
                                                           const std::string& aEnvironment)
{
  const auto response = aClient.SendRequest("GET", "/documents/" + aEnvironment, "");
  if (!response) {
    return PrintError(response.error().message, ExitCode::Unreachable);
  }
  if (response.value().status == connection::kStatusNotFound) {
    return std::uint64_t{ 0 };
  }
  if (response.value().status != connection::kStatusOk) {
    return PrintError(ParseDetail(response.value()), ExitCode::Unreachable);
  }
  const std::string etag(connection::FindHeader(response.value().headers, "ETag"));
  return std::stoull(etag.size() > 2 ? etag.substr(1) : "0");
}

ExitCode ReportResponse(const ControlResponse& aResponse)
{
  switch (aResponse.status) {
    case connection::kStatusOk: {
      const auto body = nlohmann::json::parse(aResponse.body, nullptr, false);
      std::cout << body.value("environment", "") << ": accepted as revision "
                << body.value("revision", 0) << "\n";
      return ExitCode::Ok;
    }
    case connection::kStatusConflict:
      return PrintError(ParseDetail(aResponse), ExitCode::Conflict);
    case connection::kStatusUnavailable:
    case connection::kStatusGatewayTimeout:
      return PrintError(ParseDetail(aResponse), ExitCode::Unreachable);
    default:
      return PrintError(ParseDetail(aResponse), ExitCode::Failed);
  }
}

/// Sends a change until a host responds. All attempts use the same request id, so that the change
/// takes effect only once even when responses are lost.
ExitCode SendChange(ControlClient& aClient, const std::string& aMethod, const std::string& aTarget,
                    const std::string& aBody)
{
  ExitCode code = ExitCode::Unreachable;
  for (int attempt = 0; attempt < kMaxSendAttempts; ++attempt) {
    const auto response = aClient.SendRequest(aMethod, aTarget, aBody);
    if (!response) {
      code = PrintError(response.error().message, ExitCode::Unreachable);
      continue;
    }
    code = ReportResponse(response.value());
    if (code != ExitCode::Unreachable) {
      return code;
    }
  }
  return code;
}

/// Command line options that `apply` and `promote` share.
struct ChangeOptions
{
  std::string control;
  std::string environment;
  std::string operatorName;
  std::string requestId;
  std::optional<std::uint64_t> baseRevision;

  void AddOptions(po::options_description& aOptions, const char* aEnvironmentOption)
  {
    AddControlOption(aOptions, control);
    auto add = aOptions.add_options();
    add(aEnvironmentOption, po::value(&environment)->required(), "environment to change");
    add("operator", po::value(&operatorName)->required(), "who makes the change");
    add("base",
        po::value<std::uint64_t>()->notifier([this](std::uint64_t aBase) { baseRevision = aBase; }),
        "revision that the change is based on; optional for the first revision");
    add("request", po::value(&requestId)->default_value(GenerateRequestId(), "generated"),
        "request id; pass the same one to send a change again");
  }

  std::string BuildQuery(std::uint64_t aBase) const
  {
    return "?base=" + std::to_string(aBase) +
           "&operator=" + connection::EncodeQueryValue(operatorName) +
           "&request=" + connection::EncodeQueryValue(requestId);
  }
};

/// Returns the base revision to send: as given, or 0 when the environment has no revision yet.
std::variant<std::uint64_t, ExitCode> DetermineBaseRevision(const ChangeOptions& aChange,
                                                            ControlClient& aClient)
{
  if (aChange.baseRevision) {
    return *aChange.baseRevision;
  }
  const auto revision = FetchCurrentRevision(aClient, aChange.environment);
  const auto* current = std::get_if<std::uint64_t>(&revision);
  if (current && *current > 0) {
    return PrintError("revision " + std::to_string(*current) + " of " + aChange.environment +
                        " is in force; pass --base " + std::to_string(*current) +
                        " if the change is based on it",
                      ExitCode::Conflict);
  }
  return revision;
}

ExitCode Apply(const std::vector<std::string>& aArguments)
{
  po::options_description options;
  ChangeOptions change;
  std::string path;
  change.AddOptions(options, "environment");
  options.add_options()("file", po::value(&path)->required(), "environment document (INI)");
  const ParsedCommandLine parsed =
    ParseCommandLine("apply", "puts an environment document in force", aArguments, options, "file");
  if (parsed.exitCode) {
    return *parsed.exitCode;
  }
  const auto text = core::ReadTextFile(path);
  if (!text) {
    return PrintError("cannot read " + path + "; check its name and permissions", ExitCode::Failed);
  }
  if (const auto document = version::document::ParseDocument(text.value(), path); !document) {
    return PrintError(core::Describe(document.error()), ExitCode::Failed);
  }
  const auto endpoints = ParseEndpoints(change.control);
  if (!endpoints) {
    return PrintError(endpoints.error().message, ExitCode::Usage);
  }
  ControlClient client({ .endpoints = endpoints.value() });
  const auto base = DetermineBaseRevision(change, client);
  if (const auto* code = std::get_if<ExitCode>(&base)) {
    return *code;
  }
  const std::string target =
    "/documents/" + change.environment + change.BuildQuery(std::get<std::uint64_t>(base));
  return SendChange(client, "PUT", target, text.value());
}

ExitCode Promote(const std::vector<std::string>& aArguments)
{
  po::options_description options;
  ChangeOptions change;
  std::string from;
  change.AddOptions(options, "to");
  options.add_options()("from", po::value(&from)->required(), "environment to copy from");
  const ParsedCommandLine parsed = ParseCommandLine(
    "promote", "copies an accepted document to another environment", aArguments, options, nullptr);
  if (parsed.exitCode) {
    return *parsed.exitCode;
  }
  const auto endpoints = ParseEndpoints(change.control);
  if (!endpoints) {
    return PrintError(endpoints.error().message, ExitCode::Usage);
  }
  ControlClient client({ .endpoints = endpoints.value() });
  const auto base = DetermineBaseRevision(change, client);
  if (const auto* code = std::get_if<ExitCode>(&base)) {
    return *code;
  }
  const std::string target = "/documents/" + change.environment + "/promote" +
                             change.BuildQuery(std::get<std::uint64_t>(base)) +
                             "&from=" + connection::EncodeQueryValue(from);
  return SendChange(client, "POST", target, "");
}

ExitCode Show(const std::vector<std::string>& aArguments)
{
  po::options_description options;
  std::string control;
  AddControlOption(options, control);
  options.add_options()("json", po::bool_switch(), "prints JSON");
  const ParsedCommandLine parsed =
    ParseCommandLine("show",
                     "shows the state of a host: revision in force, moves, upstreams, "
                     "tiers, groups",
                     aArguments, options, nullptr);
  if (parsed.exitCode) {
    return *parsed.exitCode;
  }
  const auto endpoints = ParseEndpoints(control);
  if (!endpoints) {
    return PrintError(endpoints.error().message, ExitCode::Usage);
  }
  ControlClient client({ .endpoints = endpoints.value() });
  const auto response = client.SendRequest("GET", "/show", "");
  if (!response) {
    return PrintError(response.error().message, ExitCode::Unreachable);
  }
  const std::string& body = response.value().body;
  std::cout << (parsed.values["json"].as<bool>() ? body + "\n" : FormatShowTables(body));
  return ExitCode::Ok;
}

ExitCode PrintVersion(const std::vector<std::string>&)
{
  std::cout << "cuminfield " << CUMINFIELD_VERSION << "\n";
  return ExitCode::Ok;
}

constexpr Command kCommands[] = {
  { "serve", "runs one host", Serve },
  { "check", "checks a host settings file or an environment document", Check },
  { "apply", "puts an environment document in force", Apply },
  { "promote", "copies an accepted document to another environment", Promote },
  { "show", "shows the state of a host", Show },
  { "version", "prints the version", PrintVersion },
};

std::vector<Command> AllCommands(std::span<const Command> aExtraCommands)
{
  std::vector<Command> commands(std::begin(kCommands), std::end(kCommands));
  for (const Command& extra : aExtraCommands) {
    const auto it = std::find_if(commands.begin(), commands.end(), [&](const Command& aCommand) {
      return std::string_view(aCommand.name) == extra.name;
    });
    if (it == commands.end()) {
      commands.push_back(extra);
    } else {
      *it = extra;
    }
  }
  return commands;
}

void PrintUsage(std::ostream& aStream, std::span<const Command> aExtraCommands)
{
  aStream << "cuminfield COMMAND [OPTIONS]; see COMMAND --help for its options\n";
  for (const Command& it : AllCommands(aExtraCommands)) {
    aStream << "  " << it.name << ": " << it.summary << "\n";
  }
}

} // namespace

ExitCode CheckFile(const std::string& aPath)
{
  const auto text = core::ReadTextFile(aPath);
  if (!text) {
    return PrintError("cannot read " + aPath + "; check its name and permissions",
                      ExitCode::Failed);
  }
  const bool isDocument = text.value().find("[environment]") != std::string::npos;
  std::optional<core::Error> error;
  if (isDocument) {
    if (const auto document = version::document::ParseDocument(text.value(), aPath); !document) {
      error = document.error();
    }
  } else if (const auto settings = settings::ParseHostSettings(text.value(), aPath); !settings) {
    error = settings.error();
  }
  if (error) {
    return PrintError(core::Describe(*error), ExitCode::Failed);
  }
  std::cout << aPath << ": ok, " << (isDocument ? "an environment document" : "host settings")
            << "\n";
  return ExitCode::Ok;
}

ExitCode RunCommand(const std::vector<std::string>& aArguments,
                    std::span<const Command> aExtraCommands)
{
  if (aArguments.empty()) {
    PrintUsage(std::cerr, aExtraCommands);
    return ExitCode::Usage;
  }
  const std::string& name = aArguments.front();
  if (name == "--help" || name == "help") {
    PrintUsage(std::cout, aExtraCommands);
    return ExitCode::Ok;
  }
  for (const Command& it : AllCommands(aExtraCommands)) {
    if (name == it.name) {
      return it.run({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  return PrintError("unknown command '" + name + "'; see cuminfield --help", ExitCode::Usage);
}

} // namespace cuminfield::process::command
