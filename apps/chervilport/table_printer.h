#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace chervilport {

/// Prints rows as aligned columns, each as wide as its widest cell plus two spaces. The first row is the heading.
void printTable(std::ostream&, std::span<const std::vector<std::string>> rows);

} // namespace chervilport
