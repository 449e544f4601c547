#pragma once

#include "framework/global/errors.h"

#include <nlohmann/json.hpp>
#include <string>

namespace beryllever::settings {

using Json = nlohmann::json;

/** Parses JSON with comments. Error: InvalidConfiguration with line and column.
 */
global::Result<Json>
ParseJson(const std::string& aText, const std::string& aSource);

/** Checks a document against a JSON Schema. Error: InvalidConfiguration with
 * path and reason. */
global::Result<void>
CheckSchema(const Json& aDocument,
            const std::string& aSchema,
            const std::string& aSource);

/** Reads a file as text. Error: InvalidConfiguration. */
global::Result<std::string>
ReadFile(const std::string& aPath);

}
