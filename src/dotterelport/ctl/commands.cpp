#include "dotterelport/ctl/commands.hpp"

#include <exception>
#include <map>

namespace dotterelport::ctl {
namespace {

using command = exit_status (*)(session&);

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> table = {
        {"check", check},   {"diff", diff},      {"apply", apply}, {"show", show},
        {"status", status}, {"budget", budget},  {"bill", bill},   {"dump", dump},
        {"events", events}, {"explain", explain}};
    return table;
}

} // namespace

exit_status run_command(net::event_loop& loop, const options& settings, std::ostream& out,
                        std::ostream& err)
{
    session context(loop, settings, out);
    try {
        const auto found = commands().find(settings.command);
        if (found == commands().end()) {
            throw usage_error("unknown command " + settings.command);
        }
        return found->second(context);
    } catch (const usage_error& failure) {
        err << "dotterelctl: " << failure.what() << '\n';
        return exit_status::usage;
    } catch (const platform_unavailable& failure) {
        err << "dotterelctl: " << failure.what() << '\n';
        return exit_status::platform_unavailable;
    } catch (const std::exception& failure) {
        err << "dotterelctl: " << failure.what() << '\n';
        return exit_status::refused;
    }
}

} // namespace dotterelport::ctl
