#pragma once

#include "framework/metrics/metrics.h"
#include "framework/net/httpserver.h"
#include "operations/ioperatorpages.h"

#include <map>
#include <memory>
#include <vector>

namespace beryllever::operations {

/** Serves the operators' pages on the control thread. */
class OperatorPages : public IOperatorPages
{
public:
  OperatorPages(const global::IClock& aClock, metrics::Metrics& aMetrics);

  bool Listen(const std::string& aHost, uint16_t aPort);

  void AddPage(const std::string& aPath, Page aPage) override;
  void AddStatus(const std::string& aName,
                 std::function<settings::Json()> aPart) override;
  void AddReadiness(std::function<std::string()> aCondition) override;

private:
  void Handle(net::HttpExchange* aExchange);
  void AnswerReadiness(net::HttpExchange* aExchange) const;
  void AnswerStatus(net::HttpExchange* aExchange) const;

  metrics::Metrics& mMetrics;
  net::HttpServer mServer;
  std::map<std::string, Page> mPages;
  std::vector<std::pair<std::string, std::function<settings::Json()>>> mParts;
  std::vector<std::function<std::string()>> mConditions;
};

}
