#ifndef DOTTERELPORT_NET_BUFFER_BUDGET_HPP
#define DOTTERELPORT_NET_BUFFER_BUDGET_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace dotterelport::net {

/// Limits of a buffer_budget, in bytes.
struct buffer_limits {
    std::size_t per_answer = std::size_t{16} << 20U;
    /// All answers together, except what each of them may always hold.
    std::size_t total = std::size_t{48} << 20U;
    /// What one answer may hold whatever the others hold.
    std::size_t always = std::size_t{64} << 10U;
};

/// Limits the memory of answers that are buffered at the same time. An answer may hold at most half
/// of what is left, so that those that grow without end leave room for others.
class buffer_budget {
public:
    explicit buffer_budget(const buffer_limits& limits = {}) : limits_(limits) {}

    /// @brief Number of bytes that all answers hold.
    [[nodiscard]] std::size_t used() const { return used_; }

    /// @brief Number of bytes up to which an answer may grow at present.
    [[nodiscard]] std::size_t limit() const;

private:
    friend class buffer_share;

    buffer_limits limits_;
    std::size_t used_ = 0;
};

/// Bytes that one answer holds; returned to the budget when it is destroyed.
class buffer_share {
public:
    explicit buffer_share(buffer_budget& budget) : budget_(&budget) {}
    ~buffer_share();
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// @brief Sets the number of bytes that the answer holds.
    /// @return false if it may not hold so many; the share is unchanged then
    bool resize(std::size_t bytes);

    /// @brief Appends to a text that is all that the answer holds. Its capacity counts, which can
    /// be twice its length.
    /// @return false if the answer may not hold so much; text and share are unchanged then
    bool append(std::string& text, std::string_view data);

private:
    buffer_budget* budget_;
    std::size_t bytes_ = 0;
};

} // namespace dotterelport::net

#endif
