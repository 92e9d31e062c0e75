#include "dotterelport/config/parts.hpp"

#include <algorithm>
#include <array>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"
#include "dotterelport/base/settings.hpp"
#include "dotterelport/config/document_json.hpp"
#include "dotterelport/object_store/store.hpp"

namespace dotterelport::config {
namespace {

std::size_t bucket_of(const std::string& workspace_name)
{
    return hash64(workspace_name) % workspace_bucket_count;
}

/// @brief Adds a part to a split document.
void add_part(split_document& result, const json& content, const std::string& what,
              const std::string& source)
{
    std::string text = content.dump();
    if (text.size() > object_store::max_value_bytes) {
        throw format_error(source, what,
                           "expected at most " + std::to_string(object_store::max_value_bytes) +
                               " bytes in one part, not " + std::to_string(text.size()));
    }
    result.parts.push_back(hash128_hex(text));
    result.contents.emplace(result.parts.back(), std::move(text));
}

/// @brief Parses a document and turns failed accesses into format errors.
template<typename Function>
auto parse_with(std::string_view text, const std::string& source, Function function)
{
    const json value = parse_json(text, source);
    try {
        return function(value);
    } catch (const json::exception& failure) {
        throw format_error(source, "", failure.what());
    }
}

} // namespace

std::string part_key(const std::string& hash)
{
    return "config/part/" + hash;
}

json to_json(const manifest& value)
{
    json history = json::array();
    for (const auto& item : value.history) {
        history.push_back({{"generation", item.generation}, {"publication", item.id}});
    }
    return {
        {"generation", value.generation}, {"parts", value.parts}, {"history", std::move(history)}};
}

manifest parse_manifest(std::string_view text, const std::string& source)
{
    return parse_with(text, source, [&](const json& value) {
        manifest result;
        result.generation = value.at("generation").get<std::uint64_t>();
        result.parts = value.at("parts").get<std::vector<std::string>>();
        if (value.contains("history")) {
            for (const auto& item : value["history"]) {
                result.history.push_back({item.at("generation").get<std::uint64_t>(),
                                          item.at("publication").get<std::string>()});
            }
        }
        if (result.parts.size() != workspace_bucket_count + 1) {
            throw format_error(source, "/parts",
                               "expected " + std::to_string(workspace_bucket_count + 1) +
                                   " hashes");
        }
        return result;
    });
}

split_document split(const document& value, const std::string& source)
{
    std::array<std::vector<const workspace*>, workspace_bucket_count> buckets;
    for (const auto& item : value.workspaces) {
        buckets.at(bucket_of(item.name)).push_back(&item);
    }
    split_document result;
    json services = json::array();
    for (const auto& item : value.services) {
        services.push_back(to_json(item));
    }
    add_part(result, {{"services", std::move(services)}, {"settings", to_json(value.settings)}},
             "/services", source);
    for (auto& bucket : buckets) {
        if (bucket.empty()) {
            result.parts.emplace_back();
            continue;
        }
        std::sort(bucket.begin(), bucket.end(),
                  [](const auto* left, const auto* right) { return left->name < right->name; });
        json workspaces = json::array();
        for (const auto* item : bucket) {
            workspaces.push_back(to_json(*item));
        }
        add_part(result, {{"workspaces", std::move(workspaces)}}, "/workspaces", source);
    }
    return result;
}

part parse_part(std::string_view content, const std::string& source)
{
    return parse_with(content, source, [](const json& value) {
        part result;
        if (value.contains("services")) {
            for (const auto& item : value["services"]) {
                result.services.push_back(service_from_json(item));
            }
            result.settings = settings_from_json(value.at("settings"));
            return result;
        }
        for (const auto& item : value.at("workspaces")) {
            result.workspaces.push_back(workspace_from_json(item));
        }
        return result;
    });
}

document join(const std::vector<std::shared_ptr<const part>>& parts)
{
    document result;
    std::size_t count = 0;
    for (const auto& item : parts) {
        count += item ? item->workspaces.size() : 0;
    }
    std::vector<const workspace*> workspaces;
    workspaces.reserve(count);
    for (const auto& item : parts) {
        if (!item) {
            continue;
        }
        if (!item->services.empty()) {
            result.services = item->services;
        }
        if (&item == &parts.front()) {
            result.settings = item->settings;
        }
        for (const auto& entry : item->workspaces) {
            workspaces.push_back(&entry);
        }
    }
    std::sort(workspaces.begin(), workspaces.end(),
              [](const auto* left, const auto* right) { return left->name < right->name; });
    result.workspaces.reserve(count);
    for (const auto* item : workspaces) {
        result.workspaces.push_back(*item);
    }
    return result;
}

} // namespace dotterelport::config
