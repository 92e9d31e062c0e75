#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/base/error.hpp"
#include "dotterelport/standin/events.hpp"
#include "dotterelport/standin/service.hpp"

namespace {

using namespace dotterelport;

int run(int argc, char** argv)
{
    standin::service::options options;
    TCLAP::CmdLine command("Stand-in for a dispatch application, for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on", true, "", "ip:port",
                                        command);
    TCLAP::ValueArg<std::int64_t> latency("", "latency-ms", "Time of a call", false,
                                          options.latency.count(), "ms", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the stock figures", false,
                                        options.seed, "number", command);
    TCLAP::SwitchArg marker("", "crash-marker", "Exit when a booking has the crash marker",
                            command);
    TCLAP::SwitchArg verbose("", "verbose", "Log every booking", command);
    command.parse(argc, argv);

    options = {milliseconds{latency.getValue()}, seed.getValue(), marker.getValue()};
    configure_logging("-", verbose.getValue() ? severity::debug : severity::info,
                      "standin-service");
    net::event_loop loop;
    standin::service service(loop, options);
    // Printed on every exit except by SIGKILL, so that a test can count the runs of earlier
    // processes.
    const auto print_counters = [&] {
        std::cout << json{{"counters", service.counters().to_json()}} << std::endl;
    };
    service.on_crash([&] {
        print_counters();
        std::_Exit(EXIT_FAILURE);
    });
    const auto address = service.listen(net::parse_endpoint(listen.getValue()));
    log(standin::events::standin_listening, {{"address", to_string(address)}});
    loop.on_terminate([&] { loop.stop(); });
    loop.run();
    print_counters();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "standin-service: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
