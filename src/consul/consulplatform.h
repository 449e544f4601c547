#pragma once

#include "consul/iplatform.h"
#include "framework/net/httpcall.h"

#include <QObject>
#include <QTimer>
#include <string>
#include <vector>

namespace beryllever::consul {

/**
 * Reads the platform's data through the HTTP interface of Consul: the documents
 * from the key-value store and the VMs from the catalog, both with blocking
 * queries. One query returns all documents, so that they are a consistent
 * snapshot.
 */
class ConsulPlatform : public IPlatform
{
public:
  explicit ConsulPlatform(std::vector<std::string> aAddresses);

  void SetOnDocuments(
    std::function<void(DocumentSnapshot)> aOnDocuments) override;
  void SetOnVms(std::function<void(VmSnapshot)> aOnVms) override;
  void SetOnResponse(std::function<void()> aOnResponse) override;
  void StartWatching() override;
  void StopWatching() override;
  void ReadOnce() override;

private:
  /** A query and the state of its polling. */
  struct Query
  {
    const char* mPath;
    void (ConsulPlatform::*mHandle)(const std::string& aBody,
                                    uint64_t aRevision);
    uint64_t mLastRevision = 0;
    bool mIsPolling = false;
    size_t mFailures = 0;
  };

  void PollQuery(Query& aQuery);
  void SendQuery(Query& aQuery, bool aIsBlocking);
  void HandleResponse(Query& aQuery,
                      const net::HttpOutcome& aOutcome,
                      const net::HttpAnswer& aResponse);
  void HandleDocuments(const std::string& aBody, uint64_t aRevision);
  void HandleVms(const std::string& aBody, uint64_t aRevision);

  const std::vector<std::string> mAddresses;
  std::function<void(DocumentSnapshot)> mOnDocuments;
  std::function<void(VmSnapshot)> mOnVms;
  std::function<void()> mOnResponse;
  bool mIsWatching = false;
  std::vector<Query> mQueries;
  QObject mContext;
};

}
