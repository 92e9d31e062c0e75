#include "dotterelport/config/document.hpp"

#include <unordered_map>
#include <unordered_set>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"
#include "dotterelport/config/document_json.hpp"

namespace dotterelport::config {
namespace {

/// Checks that a JSON Schema cannot express: uniqueness across elements, and references between
/// them.
class document_checker {
public:
    explicit document_checker(const std::string& source) : source_(source) {}

    void check(const document& value)
    {
        for (std::size_t i = 0; i < value.services.size(); ++i) {
            check_service(value.services[i], "/services/" + std::to_string(i));
        }
        for (std::size_t i = 0; i < value.workspaces.size(); ++i) {
            check_workspace(value.workspaces[i], "/workspaces/" + std::to_string(i));
        }
    }

private:
    using path_index = std::unordered_map<std::string, std::string>;

    [[noreturn]] void refuse(const std::string& path, const std::string& expected) const
    {
        throw format_error(source_, path, expected);
    }

    void require_unique(path_index& index, const std::string& name, const std::string& path,
                        const std::string& what) const
    {
        const auto [found, added] = index.emplace(name, path);
        if (!added) {
            refuse(path, "expected a unique " + what + ", but \"" + name + "\" is also at " +
                             found->second);
        }
    }

    void check_service(const service& value, const std::string& path)
    {
        require_unique(services_, value.name, path + "/name", "service name");
        if (value.kind == service_kind::model) {
            check_model_service(value, path);
        } else {
            check_application(value, path);
        }
    }

    void check_model_service(const service& value, const std::string& path)
    {
        if (value.models.empty()) {
            refuse(path, "expected the member \"models\" in a service of kind model");
        }
        if (value.max_output_tokens == 0) {
            refuse(path, "expected the member \"max_output_tokens\" in a service of kind model");
        }
        if (!value.routes.empty()) {
            refuse(path + "/routes", "expected no routes in a service of kind model");
        }
        for (std::size_t i = 0; i < value.models.size(); ++i) {
            require_unique(models_, value.models[i], path + "/models/" + std::to_string(i),
                           "model name");
        }
    }

    void check_application(const service& value, const std::string& path) const
    {
        if (value.routes.empty()) {
            refuse(path, "expected the member \"routes\" in a service of kind application");
        }
        if (!value.models.empty()) {
            refuse(path + "/models", "expected no models in a service of kind application");
        }
        path_index routes;
        for (std::size_t i = 0; i < value.routes.size(); ++i) {
            const auto& item = value.routes[i];
            require_unique(routes, item.method + " " + item.path,
                           path + "/routes/" + std::to_string(i), "route");
        }
    }

    void check_workspace(const workspace& value, const std::string& path)
    {
        require_unique(workspaces_, value.name, path + "/name", "workspace name");
        check_services(value.services, path + "/services", false);
        for (std::size_t i = 0; i < value.key_hashes.size(); ++i) {
            require_unique(keys_, value.key_hashes[i], path + "/keys/" + std::to_string(i), "key");
        }
        for (std::size_t i = 0; i < value.budgets.size(); ++i) {
            const std::string budget_path = path + "/budgets/" + std::to_string(i);
            require_unique(budgets_, value.budgets[i].name, budget_path + "/name", "budget name");
            check_services(value.budgets[i].services, budget_path + "/services", true);
        }
    }

    void check_services(const std::vector<std::string>& names, const std::string& path,
                        bool accept_all) const
    {
        for (std::size_t i = 0; i < names.size(); ++i) {
            if (!(accept_all && names[i] == "*") && !services_.contains(names[i])) {
                refuse(path + "/" + std::to_string(i),
                       std::string("expected the name of a service") +
                           (accept_all ? " or \"*\"" : "") + ", not \"" + names[i] + "\"");
            }
        }
    }

    const std::string& source_;
    path_index services_;
    path_index models_;
    path_index workspaces_;
    path_index budgets_;
    path_index keys_;
};

} // namespace

document parse_document(std::string_view text, const std::string& source)
{
    const json value = parse_json(text, source);
    check_schema(value, document_schema(), source);
    document result;
    for (const auto& item : value.at("services")) {
        result.services.push_back(service_from_json(item));
    }
    for (const auto& item : value.at("workspaces")) {
        result.workspaces.push_back(workspace_from_json(item));
    }
    if (value.contains("settings")) {
        result.settings = settings_from_json(value["settings"]);
    }
    document_checker(source).check(result);
    return result;
}

json to_json(const document& value)
{
    json services = json::array();
    for (const auto& item : value.services) {
        services.push_back(to_json(item));
    }
    json workspaces = json::array();
    for (const auto& item : value.workspaces) {
        workspaces.push_back(to_json(item));
    }
    return {{"format", 1},
            {"services", std::move(services)},
            {"workspaces", std::move(workspaces)},
            {"settings", to_json(value.settings)}};
}

} // namespace dotterelport::config
