#include <exception>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/base/settings.hpp"
#include "dotterelport/standin/relay.hpp"

/// TCP relay whose links can be cut and restored through its control port.
int main(int argc, char** argv)
{
    using namespace dotterelport;
    try {
        TCLAP::CmdLine command("TCP relay that cuts links between failure domains", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> file("", "settings", "JSON file with the links", true, "",
                                          "file", command);
        command.parse(argc, argv);
        const json settings = read_json_file(file.getValue());
        const auto links = standin::parse_relay_links(settings, file.getValue());
        net::event_loop loop;
        net::http_server control(loop);
        standin::relay relay(loop);
        relay.serve(control);
        for (const auto& link : links) {
            relay.add(link);
        }
        const auto address =
            control.listen(net::parse_endpoint(settings.at("control").get<std::string>()));
        loop.on_terminate([&] { loop.stop(); });
        std::cout << "control on " << to_string(address) << std::endl;
        loop.run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "standin-relay: " << failure.what() << '\n';
        return 1;
    }
}
