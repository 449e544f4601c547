#include "routing/retrybudget.h"

#include <algorithm>

namespace beryllever::routing {

void
RetryBudget::RecordRequest()
{
  mTokens = std::min(kMaxTokens, mTokens + kTokensPerRequest);
}

bool
RetryBudget::TryConsume()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

}
