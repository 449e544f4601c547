#include "cli/commands.h"

#include <CLI/CLI.hpp>
#include <memory>

namespace beryllever::cli {

namespace {

void
AddCheck(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto files = std::make_shared<std::vector<std::string>>();
  CLI::App* command = aApp.add_subcommand(
    "check", "Check tables together, before they are published");
  command
    ->add_option(
      "files", *files, "Files whose names start with routes, pools or service")
    ->required();
  command->footer(
    "Example: beryllever check routes.json pools.json service.json");
  command->callback(
    [=, &aCommon, &aExitCode] { aExitCode = Check(*files, aCommon); });
}

void
AddResolve(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto entry = std::make_shared<std::string>();
  CLI::App* command = aApp.add_subcommand(
    "resolve", "Ask an entry which addresses callers should use");
  command->add_option("--entry", *entry, "URL of any entry")->required();
  command->footer("Example: beryllever resolve --entry http://10.0.0.1:8080");
  command->callback(
    [=, &aCommon, &aExitCode] { aExitCode = Addresses(*entry, aCommon); });
}

std::shared_ptr<SendOptions>
AddSendOptions(CLI::App* aCommand)
{
  auto options = std::make_shared<SendOptions>();
  aCommand->add_option("--entry", options->mEntry, "URL of any entry")
    ->required();
  aCommand
    ->add_option("--workspace", options->mWorkspace, "Workspace of the request")
    ->required();
  aCommand
    ->add_option("--timeout-ms",
                 options->mTimeoutMilliseconds,
                 "Time limit in milliseconds")
    ->check(CLI::PositiveNumber);
  return options;
}

void
AddSend(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  CLI::App* send =
    aApp.add_subcommand("send", "Send a request and show its answer");
  send->require_subcommand(1);
  CLI::App* chat = send->add_subcommand(
    "chat", "Send a chat; the answer streams to the terminal");
  const auto chatOptions = AddSendOptions(chat);
  chat->add_option("text", chatOptions->mText, "What to say")->required();
  chat->add_flag(
    "--whole", chatOptions->mIsWhole, "Ask for the answer in one piece");
  chat->footer("Example: beryllever send chat --entry http://10.0.0.1:8080 "
               "--workspace gas 'Draft the handover'");
  chat->callback(
    [=, &aCommon, &aExitCode] { aExitCode = SendChat(*chatOptions, aCommon); });
  CLI::App* call =
    send->add_subcommand("call", "Send a call to a plain service");
  const auto callOptions = AddSendOptions(call);
  call
    ->add_option(
      "kind", callOptions->mKind, "Kind of the call, as in the table of routes")
    ->required();
  call->add_option("body", callOptions->mText, "Body in JSON")->required();
  call->add_option("--ticket",
                   callOptions->mTicket,
                   "Ticket of an earlier try of the same call");
  call->footer("Example: beryllever send call --entry http://10.0.0.1:8080 "
               "--workspace gas assignment '{\"job\":7}'");
  call->callback(
    [=, &aCommon, &aExitCode] { aExitCode = SendCall(*callOptions, aCommon); });
  CLI::App* outcome = send->add_subcommand(
    "outcome", "Ask what became of a call, and keep it from running later");
  const auto outcomeOptions = AddSendOptions(outcome);
  outcome->add_option("ticket", outcomeOptions->mTicket, "Ticket of the call")
    ->required();
  outcome->callback([=, &aCommon, &aExitCode] {
    aExitCode = Outcome(*outcomeOptions, aCommon);
  });
}

void
AddStatus(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto address = std::make_shared<std::string>();
  auto isFleet = std::make_shared<bool>(false);
  CLI::App* command =
    aApp.add_subcommand("status", "Show the state of one process or of all");
  command
    ->add_option(
      "--operator", *address, "URL of a process's pages for operators")
    ->required();
  command->add_flag(
    "--fleet",
    *isFleet,
    "All processes of the platform's list, as this process knows it");
  command->footer(
    "Example: beryllever status --operator http://10.0.0.1:8081 --fleet");
  command->callback([=, &aCommon, &aExitCode] {
    aExitCode = Status(*address, *isFleet, aCommon);
  });
}

void
AddExplain(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto address = std::make_shared<std::string>();
  auto workspace = std::make_shared<std::string>();
  auto kind = std::make_shared<std::string>("chat");
  CLI::App* command = aApp.add_subcommand(
    "explain", "Show where a request would go, and why not elsewhere");
  command
    ->add_option(
      "--operator", *address, "URL of an entry's pages for operators")
    ->required();
  command->add_option("--workspace", *workspace, "Workspace of the request")
    ->required();
  command->add_option("--kind", *kind, "Kind of the request")
    ->capture_default_str();
  command->footer("Example: beryllever explain --operator http://10.0.0.1:8081 "
                  "--workspace gas --kind chat");
  command->callback([=, &aCommon, &aExitCode] {
    aExitCode = Explain(*address, *workspace, *kind, aCommon);
  });
}

void
AddTrace(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto collector = std::make_shared<std::string>();
  auto trace = std::make_shared<std::string>();
  CLI::App* command =
    aApp.add_subcommand("trace", "Show the hops of one request");
  command
    ->add_option("--collector", *collector, "URL with Jaeger's query interface")
    ->required();
  command->add_option("trace", *trace, "Trace id in hexadecimal")->required();
  command->footer("Example: beryllever trace --collector http://10.0.0.9:16686 "
                  "4bf92f3577b34da6a3ce929d0e0e4736");
  command->callback([=, &aCommon, &aExitCode] {
    aExitCode = Trace(*collector, *trace, aCommon);
  });
}

void
AddExplainRequest(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  auto request = std::make_shared<std::string>();
  auto files = std::make_shared<std::vector<std::string>>();
  CLI::App* command = aApp.add_subcommand(
    "explain-request", "Walk from a request's id to its cause through logs");
  command->add_option("request", *request, "Id of the request")->required();
  command->add_option("logs", *files, "Log files of any processes")->required();
  command->footer("Example: beryllever explain-request 9c41d07be2a35f68 *.log");
  command->callback([=, &aCommon, &aExitCode] {
    aExitCode = ExplainRequest(*request, *files, aCommon);
  });
}

}

void
AddCommands(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode)
{
  aApp.require_subcommand(1);
  aApp.add_flag("--json", aCommon.mIsJson, "Print JSON for programs");
  aApp.fallthrough();
  AddCheck(aApp, aCommon, aExitCode);
  AddResolve(aApp, aCommon, aExitCode);
  AddSend(aApp, aCommon, aExitCode);
  AddStatus(aApp, aCommon, aExitCode);
  AddExplain(aApp, aCommon, aExitCode);
  AddExplainRequest(aApp, aCommon, aExitCode);
  AddTrace(aApp, aCommon, aExitCode);
}

}
