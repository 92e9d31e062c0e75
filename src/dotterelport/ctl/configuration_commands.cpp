#include <random>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/config/diff.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/publisher.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/file.hpp"

namespace dotterelport::ctl {
namespace {

/// @brief Generates a random identifier for a publication, unique among all operators.
std::string random_id()
{
    std::random_device random;
    return hash128_hex(std::to_string(random()) + std::to_string(random()) +
                       std::to_string(random()) + std::to_string(random()));
}

config::document read_document(const std::string& path)
{
    auto document = config::parse_document(read_file(path), path);
    // Throws an error if a part is too large, before anything is written.
    config::split(document, path);
    return document;
}

/// Prints the result of apply and returns the exit status.
struct result_printer {
    session& context;

    exit_status operator()(const config::publish_applied& result) const
    {
        context.out() << "generation " << result.generation
                      << (result.changed
                              ? " is accepted\n"
                              : " is accepted already and has the same content; nothing was "
                                "changed\n");
        return exit_status::success;
    }

    exit_status operator()(const config::publish_conflict& result) const
    {
        context.out() << "conflict: generation " << result.expected << " was read, but generation "
                      << result.present << " is accepted; nothing was changed\n";
        return exit_status::conflict;
    }

    exit_status operator()(const config::publish_refused& result) const
    {
        throw error(context.settings().arguments.front() + ": " + result.reason);
    }

    exit_status operator()(const config::publish_unavailable& result) const
    {
        throw platform_unavailable(
            "the platform did not answer; " +
            std::string(result.may_be_applied
                            ? "the configuration may have been accepted: repeat the command or "
                              "check with \"diff\""
                            : "nothing was changed"));
    }
};

} // namespace

exit_status check(session& context)
{
    const auto& path = context.only_argument("the file with the configuration");
    const auto document = read_document(path);
    std::size_t budgets = 0;
    for (const auto& workspace : document.workspaces) {
        budgets += workspace.budgets.size();
    }
    context.out() << path << ": valid, " << document.services.size() << " services, "
                  << document.workspaces.size() << " workspaces, " << budgets << " budgets\n";
    return exit_status::success;
}

exit_status diff(session& context)
{
    const auto document = read_document(context.only_argument("the file with the configuration"));
    const auto accepted = context.read_configuration();
    const auto changes = config::diff(accepted.content, document);
    context.out() << "accepted generation " << accepted.generation << ", " << changes.size()
                  << " differences\n";
    for (const auto& change : changes) {
        context.out() << config::describe(change) << '\n';
    }
    return exit_status::success;
}

exit_status apply(session& context)
{
    const auto document = read_document(context.only_argument("the file with the configuration"));
    config::publisher publisher(context.loop(), context.platform(),
                                {.timeout = context.settings().platform_timeout});
    const auto result = context.wait<config::publish_result>([&](auto done) {
        publisher.publish(document, context.settings().if_generation, random_id(), std::move(done));
    });
    return std::visit(result_printer{context}, result);
}

exit_status show(session& context)
{
    context.require_no_arguments();
    const auto accepted = context.read_configuration();
    if (context.settings().generation_only) {
        context.out() << accepted.generation << '\n';
        return exit_status::success;
    }
    if (accepted.generation == 0) {
        throw error("no configuration was accepted yet");
    }
    constexpr int indent = 2;
    context.out() << config::to_json(accepted.content).dump(indent) << '\n';
    return exit_status::success;
}

} // namespace dotterelport::ctl
