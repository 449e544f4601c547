#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/errors.h"
#include "framework/settings/jsondocument.h"
#include "spread/revisionstore.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace beryllever::configuration {

/** A published document, which holds all or some rows of a table. */
struct Document
{
  /** Key below the published key prefix; its first segment is routes, pools or
   * service. */
  std::string mName;
  std::string mText;
  /** Revision of the platform at which the document was last modified. */
  uint64_t mRevision = 0;
};

/** Key prefixes of entries. */
inline constexpr char kRoutePrefix[] = "route/";
inline constexpr char kPoolPrefix[] = "pool/";
inline constexpr char kOutZonePrefix[] = "out/zone/";
inline constexpr char kOutVmPrefix[] = "out/vm/";

/** Hashes of the rows that were last accepted. Rows with a known hash skip the
 * schema check. */
struct RowCache
{
  std::unordered_set<uint64_t> mAcceptedHashes;
};

/**
 * Validates all documents together and converts them to entries. The result
 * depends only on the content, so that every process accepts or rejects the
 * same documents. Error: InvalidConfiguration, whose message names the
 * document, the location and the reason.
 */
global::Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments);
/** Same, but skips the schema check of cached rows, so that the cost of a
 * change is dominated by the rows that changed. */
global::Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments, RowCache& aCache);

/** Parse one row from the value of an entry. */
Route
RouteFromJson(const settings::Json& aJson);
Pool
PoolFromJson(const settings::Json& aJson);

}
