#include "expertmap/internal/enginemapclient.h"

#include "framework/settings/jsondocument.h"

namespace beryllever::expertmap {

using settings::Json;

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };

std::optional<EngineState>
ParseState(const QByteArray& aBody)
{
  try {
    const Json json = Json::parse(aBody.toStdString());
    std::vector<steplease::Segment> segments;
    for (const Json& segment : json.at("schedule")) {
      segments.push_back(
        { segment.at("first"), segment.at("end"), segment.at("map") });
    }
    return EngineState{ steplease::Schedule(std::move(segments)),
                        json.at("step"),
                        json.value("prepared", uint64_t(0)),
                        json.value("fence", uint64_t(0)) };
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}

EngineMapClient::EngineMapClient(const std::string& aBackEnd)
  : mUrl(QString::fromStdString(aBackEnd))
{
}

void
EngineMapClient::ReadState(OnState aOnState)
{
  Send("GET", {}, 0, std::move(aOnState));
}

void
EngineMapClient::SetSchedule(const steplease::Schedule& aSchedule,
                             uint64_t aFencingNumber,
                             OnState aOnState)
{
  Json segments = Json::array();
  for (const steplease::Segment& segment : aSchedule.Segments()) {
    segments.push_back({ { "first", segment.mFirst },
                         { "end", segment.mEnd },
                         { "map", segment.mMap } });
  }
  Send("PUT",
       QByteArray::fromStdString(Json{ { "schedule", segments } }.dump()),
       aFencingNumber,
       std::move(aOnState));
}

void
EngineMapClient::PrepareMap(steplease::MapVersion aMap)
{
  net::Fetch(
    mContext,
    { .mMethod = "PUT",
      .mUrl = QUrl(mUrl + "/v1/expert-map/prepare"),
      .mBody = QByteArray::fromStdString(Json{ { "map", aMap } }.dump()) },
    kCallTimeout,
    [](const net::HttpOutcome&, const net::HttpAnswer&) {});
}

void
EngineMapClient::Send(const QByteArray& aMethod,
                      const QByteArray& aBody,
                      uint64_t aFencingNumber,
                      OnState aOnState)
{
  net::Fetch(mContext,
             { .mMethod = aMethod,
               .mUrl = QUrl(mUrl + "/v1/expert-map/schedule"),
               .mHeaders = { { "X-Fencing-Number",
                               QByteArray::number(
                                 static_cast<qulonglong>(aFencingNumber)) } },
               .mBody = aBody },
             kCallTimeout,
             [onState = std::move(aOnState)](const net::HttpOutcome& aOutcome,
                                             const net::HttpAnswer& aAnswer) {
               const bool isValid =
                 aOutcome.mIsComplete && aOutcome.mStatus == 200;
               onState(isValid ? ParseState(aAnswer.mBody) : std::nullopt);
             });
}

}
