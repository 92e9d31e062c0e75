#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/agent/daemon.hpp"

int main(int argc, char** argv)
{
    using namespace dotterelport;
    try {
        TCLAP::CmdLine command("Agent beside one backend server of a dotterelport fleet", ' ',
                               "0.1.0");
        TCLAP::ValueArg<std::string> file("", "settings", "settings file (JSON)", true, "", "file",
                                          command);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
        command.parse(argc, argv);
        const auto settings = process::read_settings(file.getValue(), process::daemon_kind::agent);
        if (check.getValue()) {
            return 0;
        }
        configure_logging(settings.log_file, settings.log_level, settings.name);
        net::event_loop loop;
        agent::daemon daemon(loop, settings);
        loop.on_terminate([&] { daemon.drain(); });
        loop.run();
        return EXIT_SUCCESS;
    } catch (const std::exception& failure) {
        std::cerr << "dotterelport-agent: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
