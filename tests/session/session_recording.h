#pragma once

#include "tests/session/session_call.h"

#include <string>
#include <vector>

namespace chervilport {

/// Records the calls of a test and the responses as text, and compares the text with a golden file.
class session_recording {
public:
    /// Creates a recording of calls to the instance at an address, `ip:port`.
    explicit session_recording(std::string address);

    /// Sends a call and records it with the response.
    session_response call(const std::string& method, const std::string& target, const std::string& body = {},
        const std::vector<std::string>& headers = {});

    /// Repeats a GET until a member of the response has the value. Records only the last call.
    void waitFor(const std::string& target, const std::string& member, const std::string& value);

    /// Fails the test at the first line that differs from `tests/session/golden/<name>.txt`. When the environment
    /// variable CHERVILPORT_WRITE_GOLDEN is set, writes that file instead.
    void compare(const std::string& name) const;

private:
    void record(const session_call&, const session_response&);

    std::string m_address;
    std::string m_text;
};

} // namespace chervilport
