#ifndef DOTTERELPORT_CONFIG_TEST_DOCUMENTS_HPP
#define DOTTERELPORT_CONFIG_TEST_DOCUMENTS_HPP

#include <cstddef>
#include <string>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/config/document.hpp"

/// Documents for the tests of this module.
namespace dotterelport::config {

inline document small_document()
{
    return {
        .services = {{.name = "coal-llm",
                      .kind = service_kind::model,
                      .models = {"ember-7b"},
                      .max_output_tokens = 512,
                      .routes = {},
                      .lookup_path = {}},
                     {.name = "dispatch",
                      .kind = service_kind::application,
                      .models = {},
                      .tokens_per_call = 1,
                      .routes = {{"POST", "/bookings", false, priority::interactive},
                                 {"GET", "/stock/*", true, std::nullopt}},
                      .lookup_path = "/bookings/{key}"}},
        .workspaces = {{.name = "depot",
                        .services = {"coal-llm", "dispatch"},
                        .priority = priority::interactive,
                        .key_hashes = {sha256_hex("depot-key")},
                        .budgets = {{"depot-main", {"*"}, 200'000}}},
                       {.name = "vendor",
                        .services = {"coal-llm"},
                        .key_hashes = {sha256_hex("vendor-key")},
                        .budgets = {{"vendor-main", {"coal-llm"}, 1'000}}}},
        .settings = {},
    };
}

inline document with_changed_prepaid(document value, tokens prepaid)
{
    value.workspaces.front().budgets.front().prepaid = prepaid;
    return value;
}

/// @brief Document with many workspaces and budgets, for tests at design size.
inline document large_document(std::size_t workspaces, std::size_t budgets)
{
    document result = small_document();
    result.workspaces.clear();
    for (std::size_t i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        workspace item{.name = name,
                       .services = {"coal-llm", "dispatch"},
                       .key_hashes = {sha256_hex(name)},
                       .budgets = {}};
        for (std::size_t j = i; j < budgets; j += workspaces) {
            item.budgets.push_back({"budget-" + std::to_string(j), {"*"}, 1'000'000});
        }
        result.workspaces.push_back(std::move(item));
    }
    result.settings.budget_shards = 64;
    return result;
}

} // namespace dotterelport::config

#endif
