#include "cli/internal/client.h"

#include "cli/commands.h"

#include <QEventLoop>
#include <iostream>

namespace beryllever::cli {

namespace {

constexpr std::chrono::milliseconds kGetTimeout{ 5000 };

}

ClientAnswer
Client::Send(const net::HttpCallRequest& aRequest,
             std::chrono::milliseconds aTimeout,
             const std::function<void(const QByteArray&)>& aOnBytes)
{
  ClientAnswer answer;
  QEventLoop loop;
  net::HttpCall call(aRequest, aTimeout);
  const auto read = [&] {
    const QByteArray bytes = call.Read(call.Readable());
    answer.mAnswer.mBody += bytes;
    if (aOnBytes && call.Status() == 200) {
      aOnBytes(bytes);
    }
  };
  call.SetOnReadable(read);
  call.SetOnEnd([&](const net::HttpOutcome& aOutcome) {
    read();
    answer.mOutcome = aOutcome;
    answer.mAnswer.mHeaders = call.AllHeaders();
    loop.quit();
  });
  loop.exec();
  return answer;
}

ClientAnswer
Client::Get(const std::string& aUrl)
{
  return Send({ .mMethod = "GET", .mUrl = QUrl(QString::fromStdString(aUrl)) },
              kGetTimeout);
}

int
ReportFailure(const ClientAnswer& aAnswer, bool aIsJson)
{
  const QByteArray execution = aAnswer.mAnswer.Header("X-Execution");
  if (aAnswer.mOutcome.mStatus == 0 || !aAnswer.mOutcome.mIsComplete) {
    std::cerr << "no whole answer: " << aAnswer.mOutcome.mReason.toStdString()
              << std::endl;
  } else if (aIsJson) {
    std::cout << aAnswer.mAnswer.mBody.toStdString() << std::endl;
  } else {
    std::cerr << "refused: " << aAnswer.mAnswer.mBody.toStdString()
              << std::endl;
  }
  if (execution == "not_run") {
    return kExitNotRun;
  }
  return execution == "unknown" ? kExitUnknown : kExitFailed;
}

}
