#include "tests/session/session_recording.h"

#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::size_t maxRecordedBodyBytes = 4'000;

    // Returns whether the value of a member is a time of this run.
    bool isTime(const std::string& key)
    {
        return key.ends_with("_at_ms") || key == "forecast_end_ms" || key == "unix_ms";
    }

    // Replaces values that differ between two runs: addresses, and times and incarnations that are not null.
    void normalize(nlohmann::ordered_json& value)
    {
        static const std::regex address(R"(127(\.\d+){3}:\d+)");
        if (value.is_string())
            value = std::regex_replace(value.get<std::string>(), address, "<address>");
        if (!value.is_structured())
            return;
        for (auto& [key, member] : value.items()) {
            if (member.is_number() && isTime(key))
                member = "<time>";
            else if (member.is_number() && key == "incarnation")
                member = "<incarnation>";
            else
                normalize(member);
        }
    }

    std::string requestText(const std::string& body)
    {
        return body.size() > maxRecordedBodyBytes ? "<" + std::to_string(body.size()) + " bytes>" : body;
    }

    // Writes one member a line, so that a differing line names the member.
    std::string responseText(const std::string& body)
    {
        auto document = nlohmann::ordered_json::parse(body, nullptr, false);
        if (document.is_discarded())
            return body;
        normalize(document);
        return document.dump(2);
    }

    std::string goldenPath(const std::string& name)
    {
        return std::string(CHERVILPORT_SOURCE_DIR) + "/tests/session/golden/" + name + ".txt";
    }

    void expectEqualLines(const std::string& path, const std::string& expected, const std::string& actual)
    {
        std::istringstream expectedLines(expected);
        std::istringstream actualLines(actual);
        for (int number = 1;; ++number) {
            std::string expectedLine;
            std::string actualLine;
            const bool hasExpectedLine = static_cast<bool>(std::getline(expectedLines, expectedLine));
            const bool hasActualLine = static_cast<bool>(std::getline(actualLines, actualLine));
            if (!hasExpectedLine && !hasActualLine)
                return;
            cr_assert(hasExpectedLine == hasActualLine && expectedLine == actualLine,
                "%s:%d\n  golden: %s\n  actual: %s", path.c_str(), number,
                hasExpectedLine ? expectedLine.c_str() : "<end of file>",
                hasActualLine ? actualLine.c_str() : "<end of session>");
        }
    }

} // namespace

session_recording::session_recording(std::string address)
    : m_address(std::move(address))
{
}

session_response session_recording::call(const std::string& method, const std::string& target, const std::string& body,
    const std::vector<std::string>& headers)
{
    const session_call sent { method, m_address, target, headers, body };
    auto response = sendSessionCall(sent);
    record(sent, response);
    return response;
}

void session_recording::waitFor(const std::string& target, const std::string& member, const std::string& value)
{
    const session_call sent { "GET", m_address, target, {}, {} };
    session_response response;
    waitUntil(target + " has " + member + " " + value, [&] {
        response = sendSessionCall(sent);
        const auto document = response.json();
        return document.is_object() && document.value(member, "") == value;
    });
    record(sent, response);
}

void session_recording::record(const session_call& sent, const session_response& response)
{
    m_text += sent.method + ' ' + sent.target + '\n';
    for (const auto& header : sent.headers)
        m_text += header + '\n';
    if (!sent.body.empty())
        m_text += requestText(sent.body) + '\n';
    m_text += "-> " + std::to_string(response.status) + '\n';
    m_text += responseText(response.body) + "\n\n";
}

void session_recording::compare(const std::string& name) const
{
    const auto path = goldenPath(name);
    if (std::getenv("CHERVILPORT_WRITE_GOLDEN")) {
        std::ofstream(path, std::ios::binary) << m_text;
        return;
    }
    std::ifstream stream(path, std::ios::binary);
    cr_assert(stream.good(), "cannot read the golden file %s", path.c_str());
    expectEqualLines(path, { std::istreambuf_iterator<char>(stream), {} }, m_text);
}

} // namespace chervilport
