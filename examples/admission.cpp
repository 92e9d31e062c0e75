#include <cstdlib>
#include <iostream>

#include "dotterelport/request/admission_table.hpp"

/// Uses the admission table in a program of its own. A repeated message joins the request that
/// has its key, a refused key stays refused, and messages of a fenced sender are refused.
int main()
{
    using namespace dotterelport;
    const incarnation self{"worker", 1};
    request::admission_table table;
    const request::admission_conditions conditions{.self = self};

    const auto decide = [&](const std::string& key, const incarnation& holder) {
        request::admission message;
        message.key = {"depot", key};
        message.agent = self;
        message.holder = holder;
        message.time_left = milliseconds{1'000};
        const auto decision = table.admit(message, conditions);
        if (const auto* refusal = std::get_if<request::refuse_decision>(&decision)) {
            return "refuse: " + std::string(to_string(refusal->reason));
        }
        return std::string(std::holds_alternative<request::start_decision>(decision) ? "start"
                                                                                     : "join");
    };

    const incarnation sender{"router-a", 5};
    std::cout << "first message    " << decide("k1", sender) << '\n';
    std::cout << "repeated message " << decide("k1", sender) << '\n';
    table.finish({"depot", "k1"}, verdict::ran);
    std::cout << "after the end    " << decide("k1", sender) << '\n';
    table.refuse({"depot", "k2"});
    std::cout << "refused key      " << decide("k2", sender) << '\n';
    table.fence(sender);
    std::cout << "fenced sender    " << decide("k3", sender) << '\n';
    const bool is_as_expected = decide("k1", sender) == "join" &&
                                decide("k2", sender) == "refuse: refused_key" &&
                                decide("k3", sender) == "refuse: fenced";
    return is_as_expected ? EXIT_SUCCESS : EXIT_FAILURE;
}
