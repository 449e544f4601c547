#include "cli/commands.h"
#include "cli/requestwalk.h"

#include <fstream>
#include <iostream>

namespace beryllever::cli {

int
ExplainRequest(const std::string& aRequestId,
               const std::vector<std::string>& aFiles,
               const CommonOptions& aCommon)
{
  std::vector<std::string> lines;
  for (const std::string& file : aFiles) {
    std::ifstream stream(file);
    if (!stream) {
      std::cerr << "beryllever: " << file << " cannot be read" << std::endl;
      return kExitBadInput;
    }
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
  }
  const RequestWalk walk = WalkRequest(aRequestId, lines);
  if (walk.mLines.empty()) {
    std::cerr << "beryllever: no line names the request " << aRequestId
              << std::endl;
    return kExitFailed;
  }
  if (aCommon.mIsJson) {
    std::cout << settings::Json{
      { "request", aRequestId },
      { "cause", walk.mCause },
      { "lines", walk.mLines },
      { "context", walk.mContext }
    }.dump(2) << std::endl;
    return kExitGood;
  }
  std::cout << "request " << aRequestId << "\n  "
            << (walk.mCause.empty() ? "it has not ended in these logs"
                                    : walk.mCause)
            << "\nits lines:\n";
  for (const std::string& line : walk.mLines) {
    std::cout << "  " << line << "\n";
  }
  std::cout << "shortly before, about its endpoints and the tables:\n";
  for (const std::string& line : walk.mContext) {
    std::cout << "  " << line << "\n";
  }
  return kExitGood;
}

}
