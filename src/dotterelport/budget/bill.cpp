#include "dotterelport/budget/bill.hpp"

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"

namespace dotterelport::budget {
namespace {

/// @brief Parses a document; failed accesses to its fields become format errors.
template<typename Function>
auto parse_document(std::string_view text, const char* source, Function function)
{
    const json document = parse_json(text, source);
    try {
        return function(document);
    } catch (const json::exception& failure) {
        throw format_error(source, "", failure.what());
    }
}

json key_to_json(const request_key& key)
{
    return {{"workspace", key.workspace}, {"key", key.key}};
}

request_key key_from_json(const json& value)
{
    return {value.at("workspace").get<std::string>(), value.at("key").get<std::string>()};
}

/// @brief Reads the agent of an entry; an empty text means that the entry has no agent.
incarnation agent_from_json(const json& value)
{
    const auto text = value.at("agent").get<std::string>();
    return text.empty() ? incarnation{} : parse_incarnation(text);
}

bill_line line_from_json(const json& value)
{
    return {.key = key_from_json(value),
            .budget = value.at("budget"),
            .charged = value.at("tokens"),
            .prompt_tokens = value.at("prompt_tokens"),
            .completion_tokens = value.at("completion_tokens"),
            .service = value.at("service"),
            .agent = parse_incarnation(value.at("agent").get<std::string>())};
}

unproved_use unproved_from_json(const json& value)
{
    return {.key = key_from_json(value),
            .budget = value.at("budget"),
            .amount = value.at("tokens"),
            .agent = agent_from_json(value),
            .attempt = value.at("attempt")};
}

kept_request kept_from_json(const json& value)
{
    return {.key = key_from_json(value),
            .agent = agent_from_json(value),
            .attempt = value.at("attempt")};
}

voided_line voided_from_json(const json& value)
{
    return {.key = key_from_json(value),
            .budget = value.at("budget"),
            .charged = value.at("tokens"),
            .holder = parse_incarnation(value.at("holder").get<std::string>()),
            .batch = value.at("batch")};
}

} // namespace

tokens charged_to(const bill_batch& batch, std::string_view budget)
{
    tokens result = 0;
    for (const auto& line : batch.lines) {
        result += line.budget == budget ? line.charged : 0;
    }
    for (const auto& use : batch.unproved) {
        result += use.budget == budget ? use.amount : 0;
    }
    return result;
}

std::string shard_object_key(std::uint32_t shard)
{
    return "budget/" + std::to_string(shard);
}

std::string bill_prefix(std::uint32_t shard)
{
    return "bill/" + std::to_string(shard) + "/";
}

std::string bill_prefix(std::uint32_t shard, const incarnation& holder)
{
    return bill_prefix(shard) + to_string(holder) + "/";
}

std::string bill_object_key(std::uint32_t shard, const incarnation& holder, std::uint64_t batch)
{
    return bill_prefix(shard, holder) + std::to_string(batch);
}

std::string void_object_key(std::uint32_t shard, std::uint64_t number)
{
    return "void/" + std::to_string(shard) + "/" + std::to_string(number);
}

json to_json(const bill_batch& value)
{
    json lines = json::array();
    for (const auto& line : value.lines) {
        json entry = key_to_json(line.key);
        entry.update({{"budget", line.budget},
                      {"tokens", line.charged},
                      {"prompt_tokens", line.prompt_tokens},
                      {"completion_tokens", line.completion_tokens},
                      {"service", line.service},
                      {"agent", to_string(line.agent)}});
        lines.push_back(std::move(entry));
    }
    json unproved = json::array();
    for (const auto& use : value.unproved) {
        json entry = key_to_json(use.key);
        entry.update({{"budget", use.budget},
                      {"tokens", use.amount},
                      {"agent", use.agent.node.empty() ? std::string() : to_string(use.agent)},
                      {"attempt", use.attempt}});
        unproved.push_back(std::move(entry));
    }
    json kept = json::array();
    for (const auto& request : value.kept) {
        json entry = key_to_json(request.key);
        entry.update({{"agent", to_string(request.agent)}, {"attempt", request.attempt}});
        kept.push_back(std::move(entry));
    }
    return {{"shard", value.shard},      {"holder", to_string(value.holder)},
            {"batch", value.number},     {"by_closer", value.by_closer},
            {"lines", std::move(lines)}, {"unproved", std::move(unproved)},
            {"kept", std::move(kept)}};
}

json to_json(const void_batch& value)
{
    json lines = json::array();
    for (const auto& line : value.lines) {
        json entry = key_to_json(line.key);
        entry.update({{"budget", line.budget},
                      {"tokens", line.charged},
                      {"holder", to_string(line.holder)},
                      {"batch", line.batch}});
        lines.push_back(std::move(entry));
    }
    return {{"shard", value.shard},
            {"number", value.number},
            {"cursor", value.cursor},
            {"lines", std::move(lines)}};
}

bill_batch parse_bill_batch(std::string_view text)
{
    return parse_document(text, "bill batch", [](const json& document) {
        bill_batch result{.shard = document.at("shard"),
                          .holder = parse_incarnation(document.at("holder").get<std::string>()),
                          .number = document.at("batch"),
                          .by_closer = document.at("by_closer"),
                          .lines = {},
                          .unproved = {},
                          .kept = {}};
        for (const auto& line : document.at("lines")) {
            result.lines.push_back(line_from_json(line));
        }
        for (const auto& use : document.at("unproved")) {
            result.unproved.push_back(unproved_from_json(use));
        }
        for (const auto& request : document.at("kept")) {
            result.kept.push_back(kept_from_json(request));
        }
        return result;
    });
}

void_batch parse_void_batch(std::string_view text)
{
    return parse_document(text, "void batch", [](const json& document) {
        void_batch result{.shard = document.at("shard"),
                          .number = document.at("number"),
                          .cursor = document.at("cursor"),
                          .lines = {}};
        for (const auto& line : document.at("lines")) {
            result.lines.push_back(voided_from_json(line));
        }
        return result;
    });
}

} // namespace dotterelport::budget
