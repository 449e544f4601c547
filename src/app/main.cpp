#include "app/daemon.h"
#include "framework/log/log.h"
#include "framework/settings/jsondocument.h"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;

}

int
main(int aCount, char** aArguments)
{
  using namespace beryllever;
  app::BlockSignals();
  CLI::App options{
    "berylleverd: one process of the load balancer beryllever.\n"
    "The settings select its role: entry, agent in front of a back end, "
    "gateway\nin front of published pools, or rankagent beside a model engine."
  };
  std::string path;
  bool isCheckOnly = false;
  options
    .add_option(
      "--settings,settings", path, "File with the settings, JSON with comments")
    ->envname("BERYLLEVER_CONFIG")
    ->required();
  options.add_flag("--check", isCheckOnly, "Check the settings and exit");
  options.footer("Exit codes: 0 stopped as asked, 2 bad settings, 3 an address "
                 "cannot be listened on.\n"
                 "Example: berylleverd --settings /etc/beryllever/entry.json");
  CLI11_PARSE(options, aCount, aArguments);

  const auto settings = global::Resolve(
    [&]() -> global::Result<std::shared_ptr<configuration::IProcessSettings>> {
      BOOST_LEAF_AUTO(text, settings::ReadFile(path));
      return configuration::ParseSettings(text, path);
    },
    [](const global::Error& aError) {
      std::cerr << "berylleverd: bad settings: " << aError.mMessage
                << std::endl;
      return std::shared_ptr<configuration::IProcessSettings>();
    });
  if (!settings) {
    return kExitBadSettings;
  }
  if (isCheckOnly) {
    std::cout << "the settings are valid" << std::endl;
    return 0;
  }
  QCoreApplication application(aCount, aArguments);
  log::Start(settings->VmName(), settings->LogLevel());
  const int code = app::Daemon(settings, path).Run();
  log::Stop();
  // All work has ended and the log is written. std::quick_exit skips the static
  // destructors: those of libraries wait for the libraries' threads, which has
  // kept stopped processes from exiting.
  std::quick_exit(code);
}
