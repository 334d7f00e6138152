#include "chervilport/http/http_responder.h"

#include "chervilport/http/error_response.h"

#include <utility>

namespace chervilport {

struct http_responder::shared_state {
    explicit shared_state(std::function<void(http_response)> function)
        : send(std::move(function))
    {
    }

    shared_state(const shared_state&) = delete;
    shared_state& operator=(const shared_state&) = delete;

    ~shared_state()
    {
        if (send)
            std::exchange(send, nullptr)(makeErrorResponse(error_kind::Internal, "the request was not answered"));
    }

    std::function<void(http_response)> send;
};

http_responder::http_responder(std::function<void(http_response)> send)
    : m_state(std::make_shared<shared_state>(std::move(send)))
{
}

bool http_responder::operator()(http_response response) const
{
    if (!m_state->send)
        return false;
    std::exchange(m_state->send, nullptr)(std::move(response));
    return true;
}

bool http_responder::isAnswered() const { return !m_state->send; }

} // namespace chervilport
