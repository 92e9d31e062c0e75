#include <random>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/config/diff.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/publisher.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/file.hpp"

namespace dotterelport::ctl {
namespace {

/// @brief Identifier of a publication, unique among all operators.
std::string random_id()
{
    std::random_device random;
    return hash128_hex(std::to_string(random()) + std::to_string(random()) +
                       std::to_string(random()) + std::to_string(random()));
}

config::document read_document(const std::string& path)
{
    auto document = config::parse_document(read_file(path), path);
    // Reports a part that is too large before anything is written.
    config::split(document, path);
    return document;
}

/// Prints the outcome of an apply.
struct result_printer {
    session& run;

    exit_status operator()(const config::publish_applied& result) const
    {
        run.out() << "generation " << result.generation
                  << (result.changed ? " is accepted\n"
                                     : " is accepted already and has the same content; nothing was "
                                       "changed\n");
        return exit_status::success;
    }

    exit_status operator()(const config::publish_conflict& result) const
    {
        run.out() << "conflict: generation " << result.expected << " was read, but generation "
                  << result.present << " is accepted; nothing was changed\n";
        return exit_status::conflict;
    }

    exit_status operator()(const config::publish_refused& result) const
    {
        throw error(run.settings().arguments.front() + ": " + result.reason);
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

exit_status check(session& run)
{
    const auto& path = run.only_argument("the file with the configuration");
    const auto document = read_document(path);
    std::size_t budgets = 0;
    for (const auto& workspace : document.workspaces) {
        budgets += workspace.budgets.size();
    }
    run.out() << path << ": valid, " << document.services.size() << " services, "
              << document.workspaces.size() << " workspaces, " << budgets << " budgets\n";
    return exit_status::success;
}

exit_status diff(session& run)
{
    const auto document = read_document(run.only_argument("the file with the configuration"));
    const auto accepted = run.read_configuration();
    const auto changes = config::diff(accepted.content, document);
    run.out() << "accepted generation " << accepted.generation << ", " << changes.size()
              << " differences\n";
    for (const auto& change : changes) {
        run.out() << config::describe(change) << '\n';
    }
    return exit_status::success;
}

exit_status apply(session& run)
{
    const auto document = read_document(run.only_argument("the file with the configuration"));
    config::publisher publisher(run.loop(), run.platform(), {.timeout = run.settings().patience});
    const auto result = run.wait<config::publish_result>([&](auto done) {
        publisher.publish(document, run.settings().if_generation, random_id(), std::move(done));
    });
    return std::visit(result_printer{run}, result);
}

exit_status show(session& run)
{
    run.require_no_arguments();
    const auto accepted = run.read_configuration();
    if (run.settings().generation_only) {
        run.out() << accepted.generation << '\n';
        return exit_status::success;
    }
    if (accepted.generation == 0) {
        throw error("no configuration was accepted yet");
    }
    constexpr int indent = 2;
    run.out() << config::to_json(accepted.content).dump(indent) << '\n';
    return exit_status::success;
}

} // namespace dotterelport::ctl
