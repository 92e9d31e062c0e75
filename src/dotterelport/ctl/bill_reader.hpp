#ifndef DOTTERELPORT_CTL_BILL_READER_HPP
#define DOTTERELPORT_CTL_BILL_READER_HPP

#include <cstdint>
#include <vector>

#include "dotterelport/budget/bill.hpp"
#include "dotterelport/ctl/session.hpp"

namespace dotterelport::ctl {

/// A bill line with where it was written.
struct billed_line {
    budget::bill_line line;
    incarnation holder;
    std::uint64_t batch = 0;
    /// The audit took it back, because another line bills the same key.
    bool is_void = false;
};

/// Bill lines, and apart from them the tokens that no line covers.
struct bill_content {
    std::vector<billed_line> lines;
    std::vector<budget::unproved_use> unproved;
};

/// @brief Combines bill batches with the lines that the audit took back, by workspace and key.
/// @param workspace limits the result to a workspace; empty for all
bill_content combine_bill(const std::vector<budget::bill_batch>& batches,
                          const std::vector<budget::void_batch>& voids,
                          const std::string& workspace);

/// @brief Reads the bill from the platform.
bill_content read_bill(session& run);

} // namespace dotterelport::ctl

#endif
