#pragma once

#include "configuration/configurationtypes.h"
#include "configuration/tableparser.h"

#include <functional>
#include <vector>

namespace beryllever::consul {

/** All published documents at one revision of the platform. */
struct DocumentSnapshot
{
  uint64_t mRevision = 0;
  std::vector<configuration::Document> mDocuments;
};

/** The list of VMs at one revision of the platform. */
struct VmSnapshot
{
  uint64_t mRevision = 0;
  std::vector<configuration::Vm> mVms;
};

/** The platform's configuration service and VM list. They are only read. */
class IPlatform
{
public:
  virtual ~IPlatform() = default;

  virtual void SetOnDocuments(
    std::function<void(DocumentSnapshot)> aOnDocuments) = 0;
  virtual void SetOnVms(std::function<void(VmSnapshot)> aOnVms) = 0;
  /** Called each time that the platform has answered, changed or not. */
  virtual void SetOnContact(std::function<void()> aOnContact) = 0;

  /** Waits for changes until StopWatching. Each wait counts as one read. */
  virtual void StartWatching() = 0;
  virtual void StopWatching() = 0;
  /** Reads both once. */
  virtual void ReadOnce() = 0;
};

}
