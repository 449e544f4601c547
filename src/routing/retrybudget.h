#pragma once

namespace beryllever::routing {

/**
 * Bounds retries to a share of requests, so that refusals cannot multiply load.
 * Each request earns a fraction of a retry; a retry spends a whole one.
 */
class RetryBudget
{
public:
  void RecordRequest();
  /** Whether a retry may be made; spends it if so. */
  bool TryConsume();

private:
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kMaxTokens = 100;

  double mTokens = 10;
};

}
