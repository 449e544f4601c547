#pragma once

#include "configuration/configurationtypes.h"
#include "configuration/tableparser.h"

#include <functional>
#include <vector>

namespace beryllever::consul {

/** All published documents at one revision of the platform's store. */
struct DocumentSnapshot
{
  uint64_t mRevision = 0;
  std::vector<configuration::Document> mDocuments;
};

/** The list of VMs at one revision of the platform's catalog. */
struct VmSnapshot
{
  uint64_t mRevision = 0;
  std::vector<configuration::Vm> mVms;
};

/** Read-only access to the platform's configuration service and VM list. */
class IPlatform
{
public:
  virtual ~IPlatform() = default;

  virtual void SetOnDocuments(
    std::function<void(DocumentSnapshot)> aOnDocuments) = 0;
  virtual void SetOnVms(std::function<void(VmSnapshot)> aOnVms) = 0;
  /** Sets a function that is called after each valid response, even if nothing
   * has changed. */
  virtual void SetOnResponse(std::function<void()> aOnResponse) = 0;

  /** Watches for changes until StopWatching. Each blocking query counts as one
   * read. */
  virtual void StartWatching() = 0;
  virtual void StopWatching() = 0;
  /** Reads the documents and the VM list once, without waiting for a change. */
  virtual void ReadOnce() = 0;
};

}
