#include "dotterelport/base/json_reader.hpp"

#include <algorithm>

#include "dotterelport/base/error.hpp"

namespace dotterelport {
namespace {

/// Errors of the JSON library quote what they have read, which may be a whole document.
constexpr std::size_t max_description_bytes = 200;

[[noreturn]] void fail(const std::string& source, const std::string& description)
{
    throw format_error(source, "", description.substr(0, max_description_bytes));
}

[[noreturn]] void fail_nested(const std::string& source)
{
    fail(source, "nested deeper than " + std::to_string(max_json_depth) + " levels");
}

/// Walks through JSON text without recursion and without decoding values.
class scanner {
public:
    scanner(std::string_view text, const std::string& source) : text_(text), source_(source) {}

    /// @brief Skips white space and the given character, if it is next.
    bool accept(char expected)
    {
        skip_space();
        if (at_ == text_.size() || text_[at_] != expected) {
            return false;
        }
        ++at_;
        return true;
    }

    void expect(char expected)
    {
        if (!accept(expected)) {
            fail(source_, std::string("expected ") + expected);
        }
    }

    void expect_end()
    {
        skip_space();
        if (at_ != text_.size()) {
            fail(source_, "unexpected text after the document");
        }
    }

    /// @brief Skips a value and returns its text.
    std::string_view value()
    {
        skip_space();
        const std::size_t begin = at_;
        std::size_t depth = 0;
        do {
            depth = skip_token(depth);
        } while (depth > 0);
        if (at_ == begin) {
            fail(source_, "expected a value");
        }
        return text_.substr(begin, at_ - begin);
    }

    /// @brief Skips a name and returns it without its quotation marks.
    std::string_view name()
    {
        const std::string_view quoted = value();
        if (!quoted.starts_with('"')) {
            fail(source_, "expected a name");
        }
        return quoted.substr(1, quoted.size() - 2);
    }

private:
    void skip_space() { at_ = std::min(text_.find_first_not_of(" \t\r\n", at_), text_.size()); }

    /// @brief Skips a bracket, a string or a run of other characters inside of a value.
    /// @return the depth after it
    std::size_t skip_token(std::size_t depth)
    {
        if (at_ >= text_.size()) {
            if (depth > 0) {
                fail(source_, "the text ends inside a value");
            }
            return depth;
        }
        switch (text_[at_]) {
        case '{':
        case '[':
            ++at_;
            return depth + 1;
        case '}':
        case ']':
            at_ += depth > 0 ? 1 : 0;
            return depth > 0 ? depth - 1 : 0;
        case '"':
            skip_string();
            return depth;
        default:
            skip_plain(depth > 0);
            return depth;
        }
    }

    void skip_string()
    {
        for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
            at_ += text_[at_] == '\\' ? 1 : 0;
        }
        if (at_ >= text_.size()) {
            fail(source_, "the text ends inside a string");
        }
        ++at_;
    }

    /// @param is_nested separators are part of the value
    void skip_plain(bool is_nested)
    {
        at_ = std::min(text_.find_first_of(is_nested ? "{}[]\"" : "{}[]\",: \t\r\n", at_),
                       text_.size());
    }

    std::string_view text_;
    const std::string& source_;
    std::size_t at_ = 0;
};

/// @brief Deepest nesting of JSON text, which need not be valid.
std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (in_string) {
            i += character == '\\' ? 1 : 0;
            in_string = character != '"';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '[' || character == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

/// Measures the nesting of MessagePack and stops at the limit.
class depth_limiter final : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return ++depth_ <= max_json_depth; }
    bool key(string_t& /*name*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*size*/) override { return ++depth_ <= max_json_depth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& failure) override
    {
        error_ = failure.what();
        return false;
    }

    [[nodiscard]] const std::string& error() const { return error_; }

private:
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
    std::string error_;
};

} // namespace

json parse_json(std::string_view text, const std::string& source)
{
    if (nesting_depth(text) > max_json_depth) {
        fail_nested(source);
    }
    try {
        return json::parse(text);
    } catch (const json::parse_error& failure) {
        const auto end =
            text.begin() + static_cast<std::ptrdiff_t>(std::min(failure.byte, text.size()));
        const auto line = std::count(text.begin(), end, '\n') + 1;
        fail(source, "not valid JSON at line " + std::to_string(line) + ": " + failure.what());
    } catch (const json::exception& failure) {
        fail(source, failure.what());
    }
}

json parse_msgpack(std::string_view bytes, const std::string& source)
{
    depth_limiter limiter;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &limiter, json::input_format_t::msgpack)) {
        if (limiter.error().empty()) {
            fail_nested(source);
        }
        fail(source, limiter.error());
    }
    try {
        return json::from_msgpack(bytes.begin(), bytes.end());
    } catch (const json::exception& failure) {
        fail(source, failure.what());
    }
}

json_members split_json_object(std::string_view text, const std::string& source)
{
    scanner from(text, source);
    json_members result;
    from.expect('{');
    if (!from.accept('}')) {
        do {
            const std::string_view name = from.name();
            from.expect(':');
            result[name] = from.value();
        } while (from.accept(','));
        from.expect('}');
    }
    from.expect_end();
    return result;
}

std::vector<std::string_view> split_json_list(std::string_view text, const std::string& source)
{
    scanner from(text, source);
    std::vector<std::string_view> result;
    from.expect('[');
    if (!from.accept(']')) {
        do {
            result.push_back(from.value());
        } while (from.accept(','));
        from.expect(']');
    }
    from.expect_end();
    return result;
}

} // namespace dotterelport
