#ifndef DOTTERELPORT_CTL_BILL_READER_HPP
#define DOTTERELPORT_CTL_BILL_READER_HPP

#include <cstdint>
#include <vector>

#include "dotterelport/budget/bill.hpp"
#include "dotterelport/ctl/session.hpp"

namespace dotterelport::ctl {

/// A bill line and the batch that contains it.
struct billed_line {
    budget::bill_line line;
    incarnation holder;
    std::uint64_t batch_number = 0;
    /// The audit voided the line, because another line bills the same request key.
    bool is_void = false;
};

/// Bill lines, and the tokens that no bill line covers.
struct bill_content {
    std::vector<billed_line> lines;
    std::vector<budget::unproved_use> unproved;
};

/// @brief Combines bill batches and marks the lines that the audit voided. Sorts the lines by
/// workspace and key.
/// @param workspace workspace to include; empty for all
bill_content combine_bill(const std::vector<budget::bill_batch>& batches,
                          const std::vector<budget::void_batch>& void_batches,
                          const std::string& workspace);

/// @brief Reads the bill from the platform.
bill_content read_bill(session& context);

} // namespace dotterelport::ctl

#endif
