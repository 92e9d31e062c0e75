#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/base/error.hpp"
#include "dotterelport/standin/engine.hpp"
#include "dotterelport/standin/events.hpp"

namespace {

using namespace dotterelport;

int run(int argc, char** argv)
{
    standin::engine::options options;
    TCLAP::CmdLine command("Stand-in for a model engine, for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on", true, "", "ip:port",
                                        command);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "Largest number of requests in a batch", false,
                                       options.batch.slots, "number", command);
    TCLAP::ValueArg<double> token_ms("", "token-ms", "Time of a step with an empty batch", false,
                                     options.batch.token_ms, "ms", command);
    TCLAP::ValueArg<double> batch_ms("", "batch-ms", "Time that each request adds to a step", false,
                                     options.batch.token_ms_per_sequence, "ms", command);
    TCLAP::ValueArg<double> prefill_ms("", "prefill-ms", "Time for one prompt token", false,
                                       options.batch.prefill_ms_per_token, "ms", command);
    TCLAP::ValueArg<tokens> output("", "output-tokens", "Largest number of generated tokens", false,
                                   options.max_output_tokens, "tokens", command);
    TCLAP::ValueArg<std::size_t> blocks("", "cache-blocks", "Prefix blocks that fit in memory",
                                        false, options.cache.max_blocks, "number", command);
    TCLAP::ValueArg<std::int64_t> event_delay("", "event-delay-ms", "Delay of cache events", false,
                                              options.cache.event_delay.count(), "ms", command);
    TCLAP::ValueArg<std::uint64_t> event_gap("", "event-gap", "Drop every n-th cache event", false,
                                             0, "n", command);
    TCLAP::ValueArg<std::int64_t> load_lag("", "load-lag-ms",
                                           "Interval between updates of the load report", false,
                                           options.load_update_interval.count(), "ms", command);
    TCLAP::MultiArg<std::string> models("", "model", "Model loaded at startup; default: any", false,
                                        "name", command);
    TCLAP::ValueArg<std::int64_t> load_ms("", "model-load-ms", "Time to load a model", false,
                                          options.orders.load_time.count(), "ms", command);
    TCLAP::SwitchArg ignore_fencing("", "ignore-fencing",
                                    "Accept orders with stale fencing numbers", command);
    TCLAP::SwitchArg marker("", "crash-marker", "Exit when a request has the crash marker",
                            command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the text and lengths", false,
                                        options.seed, "number", command);
    TCLAP::SwitchArg verbose("", "verbose", "Log every run", command);
    command.parse(argc, argv);

    options.batch = {slots.getValue(), token_ms.getValue(), batch_ms.getValue(),
                     prefill_ms.getValue()};
    options.cache = {blocks.getValue(), milliseconds{event_delay.getValue()}, event_gap.getValue()};
    options.orders = {models.getValue(), milliseconds{load_ms.getValue()},
                      !ignore_fencing.getValue()};
    options.max_output_tokens = output.getValue();
    options.load_update_interval = milliseconds{load_lag.getValue()};
    options.seed = seed.getValue();
    options.crash_on_marker = marker.getValue();

    configure_logging("-", verbose.getValue() ? severity::debug : severity::info, "standin-engine");
    net::event_loop loop;
    standin::engine engine(loop, options);
    // Printed on every exit except by SIGKILL, so that a test can count the runs of earlier
    // processes.
    const auto print_counters = [&] {
        std::cout << json{{"counters", engine.counters().to_json()}} << std::endl;
    };
    engine.on_crash([&] {
        print_counters();
        std::_Exit(EXIT_FAILURE);
    });
    const auto address = engine.listen(net::parse_endpoint(listen.getValue()));
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
        std::cerr << "standin-engine: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
