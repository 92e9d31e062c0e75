#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "dotterelport/base/error.hpp"
#include "dotterelport/standin/load_generator.hpp"

namespace {

using namespace dotterelport;

standin::load_options read_options(int argc, char** argv)
{
    TCLAP::CmdLine command("Sends streamed chat completions to routers or to one engine and "
                           "prints the latencies as JSON",
                           ' ', DOTTERELPORT_VERSION);
    TCLAP::MultiArg<std::string> targets(
        "t", "target", "address of a router or engine; may be repeated", true, "ip:port", command);
    TCLAP::MultiArg<std::string> keys("k", "key", "bearer key of a caller; may be repeated", false,
                                      "key", command);
    TCLAP::ValueArg<std::string> model("m", "model", "model that the requests name", false,
                                       "ember-7b", "name", command);
    TCLAP::ValueArg<double> rate("r", "rate", "mean requests a second", false, 10, "number",
                                 command);
    TCLAP::ValueArg<double> seconds("s", "seconds", "time in which requests are sent", false, 10,
                                    "number", command);
    TCLAP::ValueArg<std::uint32_t> words("w", "prompt-words", "words in each prompt", false, 20,
                                         "number", command);
    TCLAP::ValueArg<std::uint32_t> tokens("n", "max-tokens",
                                          "limit of generated tokens in each request", false, 32,
                                          "number", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random numbers", false, 1,
                                        "number", command);
    command.parse(argc, argv);
    if (!(rate.getValue() > 0) || !(seconds.getValue() > 0)) {
        throw error("--rate and --seconds must be greater than 0");
    }
    standin::load_options options;
    for (const auto& target : targets.getValue()) {
        options.targets.push_back(net::parse_endpoint(target));
    }
    options.keys = keys.getValue();
    options.model = model.getValue();
    options.requests_per_second = rate.getValue();
    options.duration = milliseconds{static_cast<std::int64_t>(seconds.getValue() * 1'000)};
    options.prompt_words = words.getValue();
    options.max_tokens = tokens.getValue();
    options.seed = seed.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        net::event_loop loop;
        net::http_client client(loop);
        standin::load_generator generator(loop, client, read_options(argc, argv));
        generator.start([&] { loop.stop(); });
        loop.run();
        constexpr int indent = 2;
        std::cout << generator.report().dump(indent) << '\n';
        return EXIT_SUCCESS;
    } catch (const std::exception& failure) {
        std::cerr << "dotterelport-load: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
