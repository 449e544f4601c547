#include "cli/commands.h"
#include "configuration/tableparser.h"

#include <filesystem>
#include <iostream>

namespace beryllever::cli {

using settings::Json;

namespace {

/** Name of the document in the platform: the file's name without its ending. */
std::string
DocumentName(const std::string& aPath)
{
  std::string name = std::filesystem::path(aPath).stem().string();
  for (const std::string table : { "routes", "pools", "service" }) {
    if (name.starts_with(table) && name.size() > table.size()) {
      return table + "/" + name.substr(table.size());
    }
  }
  return name;
}

}

int
Check(const std::vector<std::string>& aFiles, const CommonOptions& aCommon)
{
  return global::Resolve(
    [&]() -> global::Result<int> {
      std::vector<configuration::Document> documents;
      for (const std::string& path : aFiles) {
        BOOST_LEAF_AUTO(text, settings::ReadFile(path));
        documents.push_back({ DocumentName(path), text, 0 });
      }
      BOOST_LEAF_AUTO(entries, configuration::ParseDocuments(documents));
      if (aCommon.mIsJson) {
        std::cout << Json{
          { "verdict", "accepted" }, { "entries", entries.size() }
        }.dump() << std::endl;
      } else {
        std::cout << "accepted: " << entries.size() << " entries" << std::endl;
      }
      return kExitGood;
    },
    [&](const global::Error& aError) {
      if (aCommon.mIsJson) {
        std::cout << Json{
          { "verdict", "refused" }, { "reason", aError.mMessage }
        }.dump() << std::endl;
      } else {
        std::cerr << "refused: " << aError.mMessage << std::endl;
      }
      return kExitBadInput;
    });
}

}
