#pragma once

#include <algorithm>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace beryllever::benchmarks {

/** Prints one result as a line of JSON. */
inline void
Report(const std::string& aName,
       unsigned aSeed,
       nlohmann::ordered_json aFigures)
{
  nlohmann::ordered_json line{ { "name", aName }, { "seed", aSeed } };
  line.update(aFigures);
  std::cout << line.dump() << std::endl;
}

/** Value below which a share of the samples lies; sorts them. */
inline double
Quantile(std::vector<double>& aSamples, double aShare)
{
  if (aSamples.empty()) {
    return 0;
  }
  std::sort(aSamples.begin(), aSamples.end());
  return aSamples[std::min(
    aSamples.size() - 1,
    static_cast<size_t>(aShare * static_cast<double>(aSamples.size())))];
}

/** Rounds for printing. */
inline double
Rounded(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

}
