#include "routing/retrybudget.h"

#include <algorithm>

namespace beryllever::routing {

void
RetryBudget::TakeRequest()
{
  mSaved = std::min(kMaxSaved, mSaved + kEarnedPerRequest);
}

bool
RetryBudget::TrySpend()
{
  if (mSaved < 1) {
    return false;
  }
  mSaved -= 1;
  return true;
}

}
