#ifndef DOTTERELPORT_CTL_FILE_HPP
#define DOTTERELPORT_CTL_FILE_HPP

#include <string>

namespace dotterelport::ctl {

/// @brief Reads a whole file.
/// @throws format_error if it cannot be read
std::string read_file(const std::string& path);

} // namespace dotterelport::ctl

#endif
