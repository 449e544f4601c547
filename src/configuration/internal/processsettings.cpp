#include "configuration/processsettings.h"

#include "framework/settings/jsondocument.h"
#include "schemas.h"

#include <charconv>

namespace beryllever::configuration {

using global::ErrorKind;
using global::Fail;
using global::Result;
using settings::Json;

namespace {

class ProcessSettings : public IProcessSettings
{
public:
  explicit ProcessSettings(const Json& aJson)
    : mRole(aJson["role"])
    , mVm(aJson["vm"])
    , mAvailabilityZone(aJson["availabilityZone"])
    , mPeerAddress(aJson["peerAddress"])
    , mPeerListenAddress(aJson.value("peerListenAddress", mPeerAddress))
    , mOperatorAddress(aJson["operatorAddress"])
    , mCallerAddress(aJson.value("callerAddress", ""))
    , mBackEnd(aJson.value("backEnd", ""))
    , mPlatform(aJson.value("platform", std::vector<std::string>()))
    , mSeeds(aJson.value("seeds", std::vector<std::string>()))
    , mCollector(aJson.value("collector", ""))
    , mLogLevel(aJson.value("logLevel", "info"))
  {
    ReadLimits(aJson.value("limits", Json::object()));
    ReadSite(aJson.value("site", Json::object()));
  }

  const std::string& Role() const override { return mRole; }
  const std::string& VmName() const override { return mVm; }
  const std::string& AvailabilityZone() const override
  {
    return mAvailabilityZone;
  }
  const std::string& PeerAddress() const override { return mPeerAddress; }
  const std::string& PeerListenAddress() const override
  {
    return mPeerListenAddress;
  }
  const std::string& OperatorAddress() const override
  {
    return mOperatorAddress;
  }
  const std::string& CallerAddress() const override { return mCallerAddress; }
  const std::string& BackEnd() const override { return mBackEnd; }
  const std::vector<std::string>& PlatformUrls() const override
  {
    return mPlatform;
  }
  const std::vector<std::string>& Seeds() const override { return mSeeds; }
  const std::string& CollectorUrl() const override { return mCollector; }
  const std::string& LogLevel() const override { return mLogLevel; }
  const ProcessLimits& Limits() const override { return mLimits; }
  const SiteSettings& Site() const override { return mSite; }

private:
  void ReadLimits(const Json& aJson)
  {
    mLimits.mHeaderBytes = aJson.value("headerBytes", mLimits.mHeaderBytes);
    mLimits.mBodyBytes = aJson.value("bodyBytes", mLimits.mBodyBytes);
    mLimits.mConnections = aJson.value("connections", mLimits.mConnections);
    mLimits.mStreamBytes = aJson.value("streamBytes", mLimits.mStreamBytes);
    mLimits.mHeldBytes = aJson.value("heldBytes", mLimits.mHeldBytes);
    mLimits.mQueuedRequests =
      aJson.value("queuedRequests", mLimits.mQueuedRequests);
  }

  void ReadSite(const Json& aJson)
  {
    mSite.mRegion = aJson.value("region", "");
    mSite.mStore = aJson.value("store", "");
    mSite.mReadyAddress = aJson.value("readyAddress", "");
    mSite.mDirectoryAddress = aJson.value("directoryAddress", "");
    mSite.mEndpointAddress = aJson.value("endpointAddress", "");
    mSite.mTimeToLive = std::chrono::seconds(
      aJson.value("timeToLiveSeconds", mSite.mTimeToLive.count()));
    mSite.mContactTime = std::chrono::milliseconds(
      aJson.value("contactMilliseconds", mSite.mContactTime.count()));
    mSite.mTerminationGracePeriod = std::chrono::milliseconds(
      aJson.value("graceMilliseconds", mSite.mTerminationGracePeriod.count()));
    mSite.mRetryRatio = aJson.value("retryRatio", mSite.mRetryRatio);
    mSite.mRetryExtra = aJson.value("retryExtra", mSite.mRetryExtra);
    mSite.mRetryWindow = std::chrono::milliseconds(
      aJson.value("retryWindowMilliseconds", mSite.mRetryWindow.count()));
    mSite.mColdOverage = aJson.value("coldOverage", mSite.mColdOverage);
    mSite.mColdTolerance = aJson.value("coldTolerance", mSite.mColdTolerance);
  }

  std::string mRole;
  std::string mVm;
  std::string mAvailabilityZone;
  std::string mPeerAddress;
  std::string mPeerListenAddress;
  std::string mOperatorAddress;
  std::string mCallerAddress;
  std::string mBackEnd;
  std::vector<std::string> mPlatform;
  std::vector<std::string> mSeeds;
  std::string mCollector;
  std::string mLogLevel;
  ProcessLimits mLimits;
  SiteSettings mSite;
};

Result<void>
CheckSiteSettings(const IProcessSettings& aSettings, const std::string& aSource)
{
  const SiteSettings& site = aSettings.Site();
  if (aSettings.Role() == "gateway" &&
      (aSettings.CallerAddress().empty() || site.mReadyAddress.empty() ||
       site.mDirectoryAddress.empty() || site.mStore.empty())) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource + ": callerAddress, site.readyAddress, "
                          "site.directoryAddress, site.store: required for a "
                          "gateway");
  }
  if (aSettings.Role() == "rankagent" && site.mEndpointAddress.empty()) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource + ": site.endpointAddress: required for a rank agent");
  }
  return {};
}

Result<void>
CheckRequiredSettings(const IProcessSettings& aSettings,
                      const std::string& aSource)
{
  if (aSettings.Role() == "entry" && aSettings.CallerAddress().empty()) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource + ": callerAddress: required for an entry");
  }
  if (aSettings.Role() == "agent" && aSettings.BackEnd().empty()) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource + ": backEnd: required for an agent");
  }
  BOOST_LEAF_CHECK(CheckSiteSettings(aSettings, aSource));
  if (aSettings.PlatformUrls().empty() && aSettings.Seeds().empty()) {
    return Fail(ErrorKind::InvalidConfiguration,
                aSource +
                  ": platform: either platform or seeds must contain an "
                  "address");
  }
  return {};
}

}

Result<std::shared_ptr<IProcessSettings>>
ParseSettings(const std::string& aText, const std::string& aSource)
{
  BOOST_LEAF_AUTO(json, settings::ParseJson(aText, aSource));
  BOOST_LEAF_CHECK(settings::CheckSchema(json, schemas::kSettings, aSource));
  const auto settings = std::make_shared<ProcessSettings>(json);
  BOOST_LEAF_CHECK(CheckRequiredSettings(*settings, aSource));
  for (const std::string& address :
       { settings->PeerAddress(), settings->OperatorAddress() }) {
    BOOST_LEAF_CHECK(ParseAddress(address));
  }
  return std::shared_ptr<IProcessSettings>(settings);
}

Result<SocketAddress>
ParseAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorKind::InvalidConfiguration, aText + ": missing port");
  }
  int port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [last, ec] = std::from_chars(aText.data() + colon + 1, end, port);
  if (ec != std::errc() || last != end || port < 1 || port > 65535) {
    return Fail(ErrorKind::InvalidConfiguration,
                aText + ": port must be between 1 and 65535");
  }
  return SocketAddress{ aText.substr(0, colon), static_cast<uint16_t>(port) };
}

}
