#include "apps/chervilport/table_printer.h"

#include <algorithm>
#include <ostream>

namespace chervilport {

void printTable(std::ostream& out, std::span<const std::vector<std::string>> rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out << row[i];
            if (i + 1 < row.size())
                out << std::string(widths[i] - row[i].size() + 2, ' ');
        }
        out << '\n';
    }
}

} // namespace chervilport
