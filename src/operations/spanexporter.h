#pragma once

#include "framework/tracing/tracer.h"

#include <QNetworkAccessManager>
#include <QTimer>
#include <string>

namespace beryllever::operations {

/** Sends ended spans to a collector by OTLP over HTTP with JSON. Spans that it
 * does not take are lost. */
class SpanExporter
{
public:
  SpanExporter(QNetworkAccessManager& aManager,
               tracing::Tracer& aTracer,
               const std::string& aCollector);

  /** Sends what has ended since the last time. */
  void Flush();

private:
  QNetworkAccessManager& mManager;
  tracing::Tracer& mTracer;
  const QString mCollector;
  QTimer mTimer;
};

}
