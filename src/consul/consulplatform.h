#pragma once

#include "consul/iplatform.h"
#include "framework/net/httpcall.h"

#include <QObject>
#include <QTimer>
#include <string>
#include <vector>

namespace beryllever::consul {

/**
 * Reads the platform through the HTTP interface of Consul: the key-value store
 * for the documents and the catalog for the VMs, both with blocking queries.
 * All documents come in one answer, so that they are one snapshot.
 */
class ConsulPlatform : public IPlatform
{
public:
  ConsulPlatform(QNetworkAccessManager& aManager,
                 std::vector<std::string> aAddresses);

  void SetOnDocuments(
    std::function<void(DocumentSnapshot)> aOnDocuments) override;
  void SetOnVms(std::function<void(VmSnapshot)> aOnVms) override;
  void SetOnContact(std::function<void()> aOnContact) override;
  void StartWatching() override;
  void StopWatching() override;
  void ReadOnce() override;

private:
  /** One of the two things that are read. */
  struct Subject
  {
    const char* mPath;
    void (ConsulPlatform::*mTake)(const std::string& aBody, uint64_t aRevision);
    uint64_t mSeen = 0;
    bool mIsWaiting = false;
    size_t mFailures = 0;
  };

  void Watch(Subject& aSubject);
  void Request(Subject& aSubject, bool aIsBlocking);
  void HandleAnswer(Subject& aSubject,
                    const net::HttpOutcome& aOutcome,
                    const net::HttpAnswer& aAnswer);
  void TakeDocuments(const std::string& aBody, uint64_t aRevision);
  void TakeVms(const std::string& aBody, uint64_t aRevision);

  QNetworkAccessManager& mManager;
  const std::vector<std::string> mAddresses;
  std::function<void(DocumentSnapshot)> mOnDocuments;
  std::function<void(VmSnapshot)> mOnVms;
  std::function<void()> mOnContact;
  bool mIsWatching = false;
  std::vector<Subject> mSubjects;
  QObject mContext;
};

}
