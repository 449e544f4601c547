#pragma once

#include "framework/settings/jsondocument.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace beryllever::cli {

// Exit codes of the command-line tool, as its help states them.
inline constexpr int kExitGood = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitNotRun = 3;
inline constexpr int kExitUnknown = 4;

/** What all commands share. */
struct CommonOptions
{
  /** Print JSON for programs in place of text for people. */
  bool mIsJson = false;
};

/** A request to send. */
struct SendOptions
{
  std::string mEntry;
  std::string mWorkspace;
  std::string mKind;
  std::string mText;
  std::string mTicket;
  int mTimeoutMilliseconds = 0;
  bool mIsWhole = false;
};

/** Adds the commands to the options; the chosen one stores its exit code. */
void
AddCommands(CLI::App& aApp, CommonOptions& aCommon, int& aExitCode);

int
Check(const std::vector<std::string>& aFiles, const CommonOptions& aCommon);
int
Addresses(const std::string& aEntry, const CommonOptions& aCommon);
int
SendChat(const SendOptions& aOptions, const CommonOptions& aCommon);
int
SendCall(const SendOptions& aOptions, const CommonOptions& aCommon);
int
Outcome(const SendOptions& aOptions, const CommonOptions& aCommon);
int
Status(const std::string& aOperator,
       bool aIsFleet,
       const CommonOptions& aCommon);
int
Explain(const std::string& aOperator,
        const std::string& aWorkspace,
        const std::string& aKind,
        const CommonOptions& aCommon);
int
ExplainRequest(const std::string& aRequestId,
               const std::vector<std::string>& aFiles,
               const CommonOptions& aCommon);
int
Trace(const std::string& aCollector,
      const std::string& aTraceId,
      const CommonOptions& aCommon);

}
