#ifndef DOTTERELPORT_CONFIG_SNAPSHOT_HPP
#define DOTTERELPORT_CONFIG_SNAPSHOT_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dotterelport/config/document.hpp"

namespace dotterelport::config {

/// A configuration in force, indexed for requests. Immutable.
class snapshot {
public:
    snapshot(std::uint64_t generation, document value);
    ~snapshot() = default;
    // The indexes point into the document.
    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    [[nodiscard]] const document& content() const { return document_; }
    [[nodiscard]] const fleet_settings& settings() const { return document_.settings; }

    /// @brief Workspace with a bearer key, or null. Compares hashes in constant time.
    [[nodiscard]] const workspace* workspace_of_key(std::string_view bearer_key) const;
    [[nodiscard]] const workspace* find_workspace(std::string_view name) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const service* service_of_model(std::string_view model) const;

    /// @brief Workspace that a budget belongs to, or null.
    [[nodiscard]] const workspace* workspace_of_budget(std::string_view budget) const;
    [[nodiscard]] const budget* find_budget(std::string_view name) const;

    /// @brief Budget that a request of a workspace to a service is charged to, or null.
    [[nodiscard]] static const budget* budget_for(const workspace& owner, const service& target);

    /// @brief Returns whether a workspace may use a service.
    [[nodiscard]] static bool allows(const workspace& owner, const service& target);

private:
    struct budget_entry {
        const workspace* owner;
        const budget* value;
    };

    std::uint64_t generation_;
    document document_;
    std::unordered_map<std::string, const workspace*> workspaces_by_key_hash_;
    std::unordered_map<std::string, const workspace*> workspaces_by_name_;
    std::unordered_map<std::string, const service*> services_by_name_;
    std::unordered_map<std::string, const service*> services_by_model_;
    std::unordered_map<std::string, budget_entry> budgets_by_name_;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// @brief Shard of the budget ledger and bills that a workspace belongs to.
std::uint32_t shard_of(std::string_view workspace_name, const fleet_settings& settings);

} // namespace dotterelport::config

#endif
