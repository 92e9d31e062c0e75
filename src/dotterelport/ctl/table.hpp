#ifndef DOTTERELPORT_CTL_TABLE_HPP
#define DOTTERELPORT_CTL_TABLE_HPP

#include <ostream>
#include <string>
#include <vector>

namespace dotterelport::ctl {

/// Table of text with aligned columns.
class table {
public:
    explicit table(std::vector<std::string> header) : rows_{std::move(header)} {}

    /// @param row as many cells as the header has
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

    /// @brief Writes the header and the rows, columns separated by two spaces.
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace dotterelport::ctl

#endif
