#include "chervilport/explain/log_line.h"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace chervilport::explain {

namespace {

    constexpr std::string_view eventKey = "event=";

    /// Removes the next word and the spaces before it from the text, and returns the word.
    std::string_view takeWord(std::string_view& text)
    {
        const auto begin = std::min(text.find_first_not_of(' '), text.size());
        const auto end = std::min(text.find(' ', begin), text.size());
        const auto word = text.substr(begin, end - begin);
        text.remove_prefix(end);
        return word;
    }

    /// Returns whether a word is a date and time such as `2026-01-31T23:59:59.999`.
    bool isTime(std::string_view word)
    {
        constexpr std::size_t separator = 10;
        return word.size() > separator && word[separator] == 'T' && word[4] == '-'
            && std::isdigit(static_cast<unsigned char>(word[0])) != 0;
    }

    /// Removes the next value, which may be quoted, from the text and returns it without quotes and escapes.
    std::string takeValue(std::string_view& text)
    {
        if (text.empty() || text.front() != '"')
            return std::string(takeWord(text));
        std::string value;
        std::size_t i = 1;
        for (; i < text.size() && text[i] != '"'; ++i) {
            if (text[i] == '\\' && i + 1 < text.size())
                ++i;
            value += text[i];
        }
        text.remove_prefix(std::min(i + 1, text.size()));
        return value;
    }

    std::vector<log_line::field> readFields(std::string_view text)
    {
        std::vector<log_line::field> fields;
        for (;;) {
            text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
            const auto equals = text.find('=');
            if (equals == std::string_view::npos)
                return fields;
            std::string key(text.substr(0, equals));
            text.remove_prefix(equals + 1);
            auto value = takeValue(text);
            fields.push_back({ std::move(key), std::move(value) });
        }
    }

} // namespace

std::optional<log_line> parseLogLine(std::string_view text, std::string_view file)
{
    const auto event = text.find(eventKey);
    if (event == std::string_view::npos)
        return std::nullopt;
    log_line line;

    // Find the time and the instance before the event.
    line.instance = file;
    auto before = text.substr(0, event);
    std::string_view last;
    for (auto word = takeWord(before); !word.empty(); word = takeWord(before)) {
        if (isTime(word)) {
            line.time = word;
            if (!last.empty())
                line.instance = last;
            break;
        }
        last = word;
    }
    if (line.time.empty())
        return std::nullopt;

    // Parse the fields; the first one is the event.
    line.fields = readFields(text.substr(event));
    line.event = std::move(line.fields.front().value);
    line.fields.erase(line.fields.begin());
    return line;
}

std::string_view valueOf(const log_line& line, std::string_view key)
{
    const auto found = std::find_if(
        line.fields.begin(), line.fields.end(), [&](const log_line::field& each) { return each.key == key; });
    return found == line.fields.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace chervilport::explain
