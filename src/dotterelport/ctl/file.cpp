#include "dotterelport/ctl/file.hpp"

#include <fstream>
#include <iterator>

#include "dotterelport/base/error.hpp"

namespace dotterelport::ctl {

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw format_error(path, "", "cannot be read");
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace dotterelport::ctl
