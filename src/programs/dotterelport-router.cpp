#include <exception>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/process/settings.hpp"
#include "dotterelport/router/router_daemon.hpp"

/// Router of a dotterelport fleet: serves callers and owns budget grants.
int main(int argc, char** argv)
{
    using namespace dotterelport;
    try {
        TCLAP::CmdLine command("Router of a dotterelport fleet", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> file("", "settings", "settings file (JSON)", true, "", "file",
                                          command);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
        command.parse(argc, argv);
        const auto settings = process::read_settings(file.getValue(), process::daemon_kind::router);
        if (check.getValue()) {
            return 0;
        }
        configure_logging(settings.log_file, settings.log_level, settings.name);
        net::event_loop loop;
        router::router_daemon daemon(loop, settings);
        loop.on_terminate([&] { daemon.drain(); });
        loop.run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "dotterelport-router: " << failure.what() << '\n';
        return 1;
    }
}
