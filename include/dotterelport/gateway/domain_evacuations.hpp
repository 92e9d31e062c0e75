#ifndef DOTTERELPORT_GATEWAY_DOMAIN_EVACUATIONS_HPP
#define DOTTERELPORT_GATEWAY_DOMAIN_EVACUATIONS_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::gateway {

/// Failure domains that operators have evacuated: their backend servers get no requests until the
/// evacuation is withdrawn. Requests that run there are not interrupted.
///
/// The store may come back from an older copy, which lacks evacuations that are in force. A list
/// without a known evacuation ends it only after a while in that case, in which the operator writes
/// it again. A change that withdraws an evacuation was made after the return and holds at once.
class domain_evacuations {
public:
    struct options {
        /// Time for which an evacuation that a list of a new era lacks stays in force.
        milliseconds confirmation_time{6'000};
    };

    domain_evacuations() : domain_evacuations(options{}) {}
    explicit domain_evacuations(const options& settings) : options_(settings) {}

    /// @brief Waits for a list before any server is used, see is_known().
    void require_list() { is_required_ = true; }

    /// @brief Replaces the evacuated domains.
    /// @return domains whose evacuation has ended
    std::vector<std::string> replace(const std::set<std::string>& domains, milliseconds now);

    /// @return whether the domain was not evacuated before
    bool begin(const std::string& domain);

    /// @return whether the domain was evacuated before
    bool end(const std::string& domain);

    /// @brief Records that the store is in a new era.
    void begin_era(milliseconds now) { suspect_until_ = now + options_.confirmation_time; }

    /// @brief Ends the evacuations that were missing in a list and were not confirmed since.
    /// @return domains whose evacuation has ended
    std::vector<std::string> expire(milliseconds now);

    [[nodiscard]] bool contains(const std::string& domain) const
    {
        return domains_.contains(domain);
    }

    /// @brief Returns whether the evacuations were read, or need not be.
    [[nodiscard]] bool is_known() const { return !is_required_ || has_list_; }

    [[nodiscard]] std::size_t size() const { return domains_.size(); }
    [[nodiscard]] json dump() const;

private:
    options options_;
    std::set<std::string> domains_;
    /// End of each evacuation that a list of a new era lacks.
    std::map<std::string, milliseconds> missing_;
    milliseconds suspect_until_{0};
    bool is_required_ = false;
    bool has_list_ = false;
};

} // namespace dotterelport::gateway

#endif
