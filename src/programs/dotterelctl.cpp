#include <exception>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/ctl/commands.hpp"

namespace {

using dotterelport::ctl::exit_status;
using dotterelport::ctl::options;

constexpr const char* description =
    "Operates a dotterelport fleet. Commands: check FILE, diff FILE, apply FILE, show, status, "
    "budget, bill, dump NODE, events, explain IP:PORT METHOD HOST/PATH. Exit status: 0 done, 1 "
    "refused, 2 wrong usage, 3 another "
    "configuration was accepted in the meantime, 4 the platform did not answer";

options parse(int argc, char** argv)
{
    TCLAP::CmdLine command_line(description, ' ', "0.1.0");
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("", "platform", "address of the platform's object API",
                                          false, "127.0.0.1:7000", "ip:port", command_line);
    TCLAP::ValueArg<std::uint64_t> if_generation(
        "", "if-generation",
        "apply: generation that the file is based on; default: the generation accepted when "
        "the command starts",
        false, 0, "number", command_line);
    TCLAP::SwitchArg generation("", "generation", "show: print only the generation", command_line);
    TCLAP::SwitchArg as_json("", "json", "status, budget, bill, explain: print JSON", command_line);
    TCLAP::ValueArg<std::string> workspace("", "workspace",
                                           "budget, bill: only this workspace; "
                                           "explain: workspace of the request",
                                           false, "", "name", command_line);
    TCLAP::ValueArg<std::string> parts("", "parts",
                                       "explain: parts of the prompt with hexadecimal ids, the "
                                       "request's own part last",
                                       false, "", "id:tokens,...", command_line);
    TCLAP::ValueArg<std::int64_t> prompt_tokens("", "prompt-tokens", "explain: size of the prompt",
                                                false, 0, "number", command_line);
    TCLAP::ValueArg<std::int64_t> output_tokens("", "output-tokens",
                                                "explain: maximum size of the answer", false, 0,
                                                "number", command_line);
    TCLAP::ValueArg<std::int64_t> deadline(
        "", "deadline-ms", "explain: time for which the caller waits; default: that of the route",
        false, 0, "milliseconds", command_line);
    TCLAP::ValueArg<int> patience("", "patience-ms", "time to wait for the platform", false, 15000,
                                  "milliseconds", command_line);
    TCLAP::UnlabeledValueArg<std::string> command("command", "what to do", true, "", "command",
                                                  command_line);
    TCLAP::UnlabeledMultiArg<std::string> arguments("arguments", "arguments of the command", false,
                                                    "argument", command_line);
    command_line.parse(argc, argv);
    options result;
    result.platform = dotterelport::net::parse_endpoint(platform.getValue());
    result.command = command.getValue();
    result.arguments = arguments.getValue();
    if (if_generation.isSet()) {
        result.if_generation = if_generation.getValue();
    }
    result.generation_only = generation.getValue();
    result.as_json = as_json.getValue();
    result.workspace = workspace.getValue();
    result.parts = parts.getValue();
    result.prompt_tokens = prompt_tokens.getValue();
    result.output_tokens = output_tokens.getValue();
    if (deadline.isSet()) {
        result.deadline_ms = deadline.getValue();
    }
    result.platform_timeout = dotterelport::milliseconds{patience.getValue()};
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    options settings;
    try {
        settings = parse(argc, argv);
    } catch (const TCLAP::ExitException& done) {
        return done.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "dotterelctl: " << failure.error() << ' ' << failure.argId() << '\n';
        return static_cast<int>(exit_status::usage);
    } catch (const std::exception& failure) {
        std::cerr << "dotterelctl: " << failure.what() << '\n';
        return static_cast<int>(exit_status::usage);
    }
    dotterelport::net::event_loop loop;
    return static_cast<int>(dotterelport::ctl::run_command(loop, settings, std::cout, std::cerr));
}
