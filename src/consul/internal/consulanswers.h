#pragma once

#include "consul/iplatform.h"
#include "framework/global/errors.h"

#include <string>

namespace beryllever::consul {

/** Folder of the published documents in the key-value store. */
inline constexpr char kFolder[] = "beryllever/";

/** Reads an answer of the Consul KV interface (GET /v1/kv/<folder>?recurse).
 * Error: InvalidConfiguration. */
global::Result<std::vector<configuration::Document>>
ParseKeyValues(const std::string& aBody);

/** Reads an answer of the Consul catalog interface (GET /v1/catalog/nodes).
 * Error: InvalidConfiguration. */
global::Result<std::vector<configuration::Vm>>
ParseNodes(const std::string& aBody);

}
