#include "framework/settings/jsondocument.h"

#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace beryllever::settings {

using global::ErrorKind;
using global::Fail;

namespace {

std::string
FirstReason(valijson::ValidationResults& aResults)
{
  std::string path;
  std::string reason;
  valijson::ValidationResults::Error error;
  // The first error is the outermost; the most specific one has the longest
  // path.
  while (aResults.popError(error)) {
    std::string place;
    for (const std::string& part : error.context) {
      place += part;
    }
    if (reason.empty() || place.size() > path.size()) {
      path = place;
      reason = error.description;
    }
  }
  return path + ": " + reason;
}

}

global::Result<Json>
ParseJson(const std::string& aText, const std::string& aSource)
{
  try {
    return Json::parse(aText, nullptr, true, true);
  } catch (const Json::parse_error& error) {
    return Fail(ErrorKind::InvalidConfiguration, aSource + ": " + error.what());
  }
}

global::Result<void>
CheckSchema(const Json& aDocument,
            const std::string& aSchema,
            const std::string& aSource)
{
  const Json schemaJson = Json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(
    valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  if (!validator.validate(
        schema, valijson::adapters::NlohmannJsonAdapter(aDocument), &results)) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource + ": " + FirstReason(results));
  }
  return {};
}

global::Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  if (!stream) {
    return Fail(ErrorKind::InvalidConfiguration, aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}
