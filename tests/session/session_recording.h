#pragma once

#include "tests/session/session_call.h"

#include <string>
#include <vector>

namespace chervilport {

/// Records the calls of a test and their answers as text, and compares the text with a golden file.
class session_recording {
public:
    /// Records calls to an instance at an address.
    explicit session_recording(std::string address);

    /// Sends a call and records it with its answer.
    session_response call(const std::string& method, const std::string& target, const std::string& body = {},
        const std::vector<std::string>& headers = {});

    /// Repeats a GET until a member of the answer has a value, and records only the last exchange.
    void waitFor(const std::string& target, const std::string& member, const std::string& value);

    /// Fails the test at the first line that differs from `tests/session/golden/<name>.txt`. When the environment
    /// variable CHERVILPORT_WRITE_GOLDEN is set, it writes that file instead.
    void compare(const std::string& name) const;

private:
    void record(const session_call&, const session_response&);

    std::string m_address;
    std::string m_text;
};

} // namespace chervilport
