#include "dotterelport/base/settings.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <vector>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "dotterelport/base/error.hpp"

namespace dotterelport {
namespace {

using valijson::ValidationResults;
using valijson::adapters::NlohmannJsonAdapter;

/// @brief Converts a path element of valijson, such as "[name]", to the plain name.
std::string plain_name(const std::string& element)
{
    const bool bracketed = element.size() >= 2 && element.front() == '[' && element.back() == ']';
    return bracketed ? element.substr(1, element.size() - 2) : element;
}

/// @brief Returns the path of an error without the element for the root.
std::vector<std::string> path_of(const ValidationResults::Error& failure)
{
    std::vector<std::string> path;
    for (std::size_t i = 1; i < failure.context.size(); ++i) {
        path.push_back(plain_name(failure.context[i]));
    }
    return path;
}

std::string to_pointer(const std::vector<std::string>& path)
{
    std::string pointer;
    for (const auto& element : path) {
        pointer.append("/").append(element);
    }
    return pointer;
}

/// @brief Finds the subschema for a path by following properties, items and additionalProperties.
/// @return nullptr if these keywords do not lead to a subschema
const json* schema_at(const json& schema, const std::vector<std::string>& path)
{
    const json* current_schema = &schema;
    for (const auto& element : path) {
        if (current_schema->contains("properties") &&
            (*current_schema)["properties"].contains(element)) {
            current_schema = &(*current_schema)["properties"][element];
        } else if (current_schema->contains("items")) {
            current_schema = &(*current_schema)["items"];
        } else if (current_schema->contains("additionalProperties") &&
                   (*current_schema)["additionalProperties"].is_object()) {
            current_schema = &(*current_schema)["additionalProperties"];
        } else {
            return nullptr;
        }
    }
    return current_schema;
}

/// @brief Describes the constraints of a schema on a single value.
std::string describe(const json& schema)
{
    std::string text;
    for (const char* keyword : {"type", "enum", "pattern", "minimum", "maximum", "minLength",
                                "maxLength", "minItems", "maxItems", "uniqueItems"}) {
        if (const auto found = schema.find(keyword); found != schema.end()) {
            text.append(text.empty() ? "" : ", ").append(keyword).append(" ").append(found->dump());
        }
    }
    return text;
}

format_error to_format_error(const std::vector<ValidationResults::Error>& failures,
                             const json& schema, const std::string& source)
{
    // valijson also reports an error for each value that encloses the violation; the error with
    // the longest path is the violation itself.
    const auto deepest =
        std::max_element(failures.begin(), failures.end(), [](const auto& left, const auto& right) {
            return left.context.size() < right.context.size();
        });
    const auto path = path_of(*deepest);
    std::string message = deepest->description;
    if (const json* subschema = schema_at(schema, path);
        subschema != nullptr && !describe(*subschema).empty()) {
        message += " Expected " + describe(*subschema) + ".";
    }
    return {source, to_pointer(path), message};
}

} // namespace

void check_schema(const json& value, const json& schema, const std::string& source)
{
    valijson::Schema compiled;
    valijson::SchemaParser parser;
    parser.populateSchema(NlohmannJsonAdapter(schema), compiled);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    ValidationResults results;
    if (!validator.validate(compiled, NlohmannJsonAdapter(value), &results)) {
        const std::vector<ValidationResults::Error> failures(results.begin(), results.end());
        throw to_format_error(failures, schema, source);
    }
}

json read_json_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw format_error(path, "", "cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parse_json(text, path);
}

} // namespace dotterelport
