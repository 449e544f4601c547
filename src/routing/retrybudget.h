#pragma once

namespace beryllever::routing {

/**
 * Bounds retries to a share of requests, so that refusals cannot multiply load.
 * Each request earns a fraction of a retry; a retry spends a whole one.
 */
class RetryBudget
{
public:
  void TakeRequest();
  /** Whether a retry may be made; spends it if so. */
  bool TrySpend();

private:
  static constexpr double kEarnedPerRequest = 0.2;
  static constexpr double kMaxSaved = 100;

  double mSaved = 10;
};

}
