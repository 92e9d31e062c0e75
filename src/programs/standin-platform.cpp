#include <exception>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/standin/platform_server.hpp"

/// Stand-in for the platform: object API with faults and counters, and the VM list.
int main(int argc, char** argv)
{
    using namespace dotterelport;
    try {
        TCLAP::CmdLine command("Stand-in for the platform's object API and VM list", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false,
                                            "127.0.0.1:7000", "ip:port", command);
        TCLAP::ValueArg<double> writes("", "writes-per-second", "rate limit of writes", false, 500,
                                       "number", command);
        TCLAP::ValueArg<double> reads("", "reads-per-second",
                                      "rate limit of reads, listings and watches", false, 2000,
                                      "number", command);
        TCLAP::ValueArg<int> lag("", "vm-lag-ms", "time until the VM list shows a change", false,
                                 5000, "milliseconds", command);
        command.parse(argc, argv);
        net::event_loop loop;
        const standin::platform_server server(loop,
                                              {.address = net::parse_endpoint(listen.getValue()),
                                               .writes_per_second = writes.getValue(),
                                               .reads_per_second = reads.getValue(),
                                               .vm_lag = milliseconds{lag.getValue()}});
        loop.on_terminate([&] { loop.stop(); });
        std::cout << "listening on " << to_string(server.address()) << std::endl;
        loop.run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "standin-platform: " << failure.what() << '\n';
        return 1;
    }
}
