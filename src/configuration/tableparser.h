#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/errors.h"
#include "framework/settings/jsondocument.h"
#include "spread/revisionstore.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace beryllever::configuration {

/** A published document: one part of a table. */
struct Document
{
  /** Name below the published folder; its first part is routes, pools or
   * service. */
  std::string mName;
  std::string mText;
  /** Revision of the platform at which the document was last written. */
  uint64_t mRevision = 0;
};

/** Prefixes of the keys of entries. */
inline constexpr char kRoutePrefix[] = "route/";
inline constexpr char kPoolPrefix[] = "pool/";
inline constexpr char kOutZonePrefix[] = "out/zone/";
inline constexpr char kOutVmPrefix[] = "out/vm/";

/** Hashes of the rows that were accepted last; equal rows need no further check
 * of their schema. */
struct RowCache
{
  std::unordered_set<uint64_t> mRows;
};

/**
 * Checks all documents together and turns them into entries. The result depends
 * on the content alone, so that every process comes to the same verdict. Error:
 * InvalidConfiguration with the document, the place and the reason.
 */
global::Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments);
/** The same; the cache makes a change cost little more than its own rows. */
global::Result<std::vector<spread::Change>>
ParseDocuments(const std::vector<Document>& aDocuments, RowCache& aCache);

/** Reads one row from an entry's value. */
Route
RouteFromJson(const settings::Json& aJson);
Pool
PoolFromJson(const settings::Json& aJson);

}
