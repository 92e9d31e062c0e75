#ifndef DOTTERELPORT_BUDGET_BILL_HPP
#define DOTTERELPORT_BUDGET_BILL_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::budget {

/// One billed request.
struct bill_line {
    request_key key;
    std::string budget;
    tokens charged = 0;
    tokens prompt_tokens = 0;
    tokens completion_tokens = 0;
    std::string service;
    incarnation agent;

    bool operator==(const bill_line&) const = default;
};

/// Tokens that a request may have used but that no bill line covers. An empty key marks a part of a
/// grant that cannot be attributed to a request.
struct unproved_use {
    request_key key;
    std::string budget;
    tokens amount = 0;
    incarnation agent;
    /// Attempt that the tokens were reserved for; 0 for a part of a grant.
    std::uint32_t attempt = 0;

    bool operator==(const unproved_use&) const = default;
};

/// A request that was still running when the remainder of a grant was counted as unproved. Its
/// tokens are not part of that remainder.
struct kept_request {
    request_key key;
    incarnation agent;
    std::uint32_t attempt = 1;

    bool operator==(const kept_request&) const = default;
};

/// Bill lines that a holder writes as one object. Batch numbers start at 1 and have no gaps. If the
/// next number already exists with other content, another router has closed the holder.
struct bill_batch {
    std::uint32_t shard = 0;
    incarnation holder;
    std::uint64_t number = 0;
    /// Written by the router that closes the holder.
    bool by_closer = false;
    std::vector<bill_line> lines;
    std::vector<unproved_use> unproved;
    /// Filled only in a batch that counts the remainder of a grant.
    std::vector<kept_request> kept = {};

    bool operator==(const bill_batch&) const = default;
};

/// A bill line that the audit voided, because another line bills the same key.
struct voided_line {
    request_key key;
    std::string budget;
    tokens charged = 0;
    incarnation holder;
    std::uint64_t batch = 0;

    bool operator==(const voided_line&) const = default;
};

/// Bill lines that one run of the audit voided, written as one object.
struct void_batch {
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    /// Platform revision up to which bill batches were audited.
    std::uint64_t cursor = 0;
    std::vector<voided_line> lines;
};

/// @brief Tokens that a batch charges to a budget, billed or unproved.
tokens charged_to(const bill_batch& batch, std::string_view budget);

/// @brief Object key "budget/<shard>".
std::string shard_object_key(std::uint32_t shard);

/// @brief Prefix "bill/<shard>/" of all batches of a shard.
std::string bill_prefix(std::uint32_t shard);

/// @brief Prefix "bill/<shard>/<holder>/" of the batches of a holder.
std::string bill_prefix(std::uint32_t shard, const incarnation& holder);

/// @brief Object key "bill/<shard>/<holder>/<batch>".
std::string bill_object_key(std::uint32_t shard, const incarnation& holder, std::uint64_t batch);

/// @brief Object key "void/<shard>/<number>".
std::string void_object_key(std::uint32_t shard, std::uint64_t number);

json to_json(const bill_batch& value);
json to_json(const void_batch& value);

/// @throws format_error if the text is not a bill batch
bill_batch parse_bill_batch(std::string_view text);

/// @throws format_error if the text is not a batch of voided lines
void_batch parse_void_batch(std::string_view text);

} // namespace dotterelport::budget

#endif
