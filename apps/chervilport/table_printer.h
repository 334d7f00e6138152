#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace chervilport {

/// Prints rows in columns that are as wide as their widest cell. The first row is the heading.
void printTable(std::ostream&, std::span<const std::vector<std::string>> rows);

} // namespace chervilport
