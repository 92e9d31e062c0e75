#include <catch2/catch.hpp>

#include "dotterelport/request/prompt.hpp"

namespace dotterelport::request {
namespace {

std::string words(std::size_t count, const std::string& word)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += word + (i % 2 == 0 ? " " : "\n ");
    }
    return text;
}

TEST_CASE("A wrong token count would let a request use more than its reservation")
{
    struct row {
        json messages;
        tokens count;
    };
    const auto [messages, count] = GENERATE(
        row{json::array(), 0}, row{json(nullptr), 0}, row{{{{"content", "one  two\tthree"}}}, 3},
        row{{{{"content", "a b"}}, {{"content", "c"}}}, 3},
        row{{{{"content", {{{"type", "text"}, {"text", "a b"}}, {{"type", "image"}}}}}}, 2},
        row{{{{"content", 7}}, json("text")}, 0});
    CHECK(count_prompt_tokens(prompt_text({{"messages", messages}})) == count);
}

TEST_CASE("Prompts share prefix hashes exactly as far as they are equal")
{
    const auto base = prefix_hashes(words(40, "a"), 100);
    CHECK(base.size() == 2);
    CHECK(prefix_hashes(words(40, "a"), 1).size() == 1);
    const auto other = prefix_hashes(words(16, "a") + words(24, "b"), 100);
    CHECK(other[0] == base[0]);
    CHECK(other[1] != base[1]);
    CHECK(prefix_hashes(words(15, "a"), 100).empty());
}

} // namespace
} // namespace dotterelport::request
