#include "operations/spanexporter.h"

#include "framework/net/httpcall.h"

namespace beryllever::operations {

namespace {

constexpr std::chrono::milliseconds kExportInterval{ 300 };
constexpr std::chrono::milliseconds kExportTimeout{ 2000 };

}

SpanExporter::SpanExporter(tracing::Tracer& aTracer,
                           const std::string& aCollector)
  : mTracer(aTracer)
  , mCollector(QString::fromStdString(aCollector))
{
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { Flush(); });
  mTimer.start(kExportInterval);
}

void
SpanExporter::Flush()
{
  const std::string spans = mTracer.TakeOtlp();
  if (spans.empty() || mCollector.isEmpty()) {
    return;
  }
  net::Fetch(mTimer,
             { .mMethod = "POST",
               .mUrl = QUrl(mCollector + "/v1/traces"),
               .mHeaders = { { "Content-Type", "application/json" } },
               .mBody = QByteArray::fromStdString(spans) },
             kExportTimeout,
             [](const net::HttpOutcome&, const net::HttpAnswer&) {});
}

}
