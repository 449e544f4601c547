#include "cli/commands.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>

int
main(int aCount, char** aArguments)
{
  using namespace beryllever::cli;
  QCoreApplication application(aCount, aArguments);
  CLI::App app{ "beryllever: checks tables, sends requests and shows the state "
                "of the load balancer beryllever." };
  app.footer(
    "Exit codes: 0 good, 1 failed, 2 bad input, 3 not run, 4 outcome unknown.\n"
    "'beryllever COMMAND --help' shows a command with an example.");
  CommonOptions common;
  int exitCode = kExitGood;
  AddCommands(app, common, exitCode);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? kExitGood : kExitBadInput;
  }
  return exitCode;
}
