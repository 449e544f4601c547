#pragma once

#include "framework/tracing/tracer.h"

#include <QTimer>
#include <string>

namespace beryllever::operations {

/** Exports ended spans to a collector as OTLP/HTTP with JSON encoding. Spans
 * are dropped if the collector does not accept them. */
class SpanExporter
{
public:
  SpanExporter(tracing::Tracer& aTracer, const std::string& aCollector);

  /** Exports the spans that have ended since the last call. */
  void Flush();

private:
  tracing::Tracer& mTracer;
  const QString mCollector;
  QTimer mTimer;
};

}
