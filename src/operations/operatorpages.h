#pragma once

#include "framework/metrics/metrics.h"
#include "framework/net/httpserver.h"
#include "operations/ioperatorpages.h"

#include <map>
#include <memory>
#include <vector>

namespace beryllever::operations {

/** Serves the operator pages on the control thread. */
class OperatorPages : public IOperatorPages
{
public:
  OperatorPages(const global::IClock& aClock, metrics::Metrics& aMetrics);

  bool Listen(const std::string& aHost, uint16_t aPort);

  void AddPage(const std::string& aPath, Page aPage) override;
  void AddStatusSection(const std::string& aName,
                        std::function<settings::Json()> aSection) override;
  void AddReadinessCheck(std::function<std::string()> aCheck) override;

private:
  void Handle(net::HttpExchange* aExchange);
  void ReplyReadiness(net::HttpExchange* aExchange) const;
  void ReplyStatus(net::HttpExchange* aExchange) const;

  metrics::Metrics& mMetrics;
  net::HttpServer mServer;
  std::map<std::string, Page> mPages;
  std::vector<std::pair<std::string, std::function<settings::Json()>>>
    mStatusSections;
  std::vector<std::function<std::string()>> mReadinessChecks;
};

}
