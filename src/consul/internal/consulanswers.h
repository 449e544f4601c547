#pragma once

#include "consul/iplatform.h"
#include "framework/global/errors.h"

#include <string>

namespace beryllever::consul {

/** Prefix of the keys of the published documents in the key-value store. */
inline constexpr char kDocumentsPrefix[] = "beryllever/";

/** Parses a response of the Consul key-value interface
 * (GET /v1/kv/<prefix>?recurse). Error: InvalidConfiguration. */
global::Result<std::vector<configuration::Document>>
ParseKeyValues(const std::string& aBody);

/** Parses a response of the Consul catalog interface (GET /v1/catalog/nodes),
 * without the nodes that do not run a process of the load balancer. Error:
 * InvalidConfiguration. */
global::Result<std::vector<configuration::Vm>>
ParseNodes(const std::string& aBody);

}
