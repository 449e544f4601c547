#pragma once

namespace beryllever::routing {

/**
 * Token bucket that limits retries to a fraction of the requests, so that
 * refusals cannot multiply the load. Each request adds a fraction of a token;
 * each retry consumes a whole one.
 */
class RetryBudget
{
public:
  void RecordRequest();
  /** Consumes a token for one retry. Returns false if none is available. */
  bool TryConsume();

private:
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kMaxTokens = 100;

  double mTokens = 10;
};

}
