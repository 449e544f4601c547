#include "cli/internal/tableprinter.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace beryllever::cli {

void
PrintTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    for (size_t i = 0; i < row.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << row[i];
    }
    std::cout << std::endl;
  }
}

}
