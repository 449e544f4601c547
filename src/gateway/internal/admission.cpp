#include "gateway/internal/admission.h"

namespace beryllever::gateway {

std::variant<Admission, Rejection>
Admit(const published::Snapshot& aSnapshot,
      const std::string& aHost,
      std::string_view aPath,
      const std::string& aApiKey)
{
  if (!aSnapshot.IsKnown()) {
    return Rejection{ 503, "no configuration is known" };
  }
  Admission admission{ .mRoute = aSnapshot.FindRoute(aHost, aPath) };
  if (admission.mRoute == nullptr) {
    return Rejection{ 404, "no route matches the host and path" };
  }
  admission.mPriority = admission.mRoute->mPriority;
  const published::Workspace* workspace =
    aApiKey.empty() ? nullptr : aSnapshot.FindWorkspace(aApiKey);
  if (workspace != nullptr) {
    admission.mWorkspace = workspace->mName;
    admission.mPriority = workspace->mPriority.value_or(admission.mPriority);
    return admission;
  }
  if (aSnapshot.Tables().mHasWorkspaces &&
      !admission.mRoute->mIsExemptFromKeys) {
    return Rejection{ 401, "unknown API key" };
  }
  return admission;
}

std::string
PickPool(const published::Route& aRoute, std::mt19937_64& aRandom)
{
  double sum = 0;
  for (const auto& target : aRoute.mTargets) {
    sum += target.mWeight;
  }
  std::uniform_real_distribution<double> distribution(0, sum);
  double remaining = distribution(aRandom);
  std::string pool;
  for (const auto& target : aRoute.mTargets) {
    if (target.mWeight <= 0) {
      continue;
    }
    pool = target.mPool;
    remaining -= target.mWeight;
    if (remaining <= 0) {
      break;
    }
  }
  return pool;
}

}
