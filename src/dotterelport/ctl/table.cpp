#include "dotterelport/ctl/table.hpp"

#include <algorithm>
#include <cstddef>

namespace dotterelport::ctl {

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row.at(i).size());
        }
    }
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i + 1 < widths.size(); ++i) {
            out << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
        }
        out << row.back() << '\n';
    }
}

} // namespace dotterelport::ctl
