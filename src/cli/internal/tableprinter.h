#pragma once

#include <string>
#include <vector>

namespace beryllever::cli {

/** Prints rows with columns of even width; the first row is the heading. */
void
PrintTable(const std::vector<std::vector<std::string>>& aRows);

}
