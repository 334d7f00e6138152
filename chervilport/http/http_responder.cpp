#include "chervilport/http/http_responder.h"

#include "chervilport/http/error_response.h"

#include <utility>

namespace chervilport {

struct http_responder::shared_right {
    explicit shared_right(std::function<void(http_response)> function)
        : send(std::move(function))
    {
    }

    shared_right(const shared_right&) = delete;
    shared_right& operator=(const shared_right&) = delete;

    ~shared_right()
    {
        if (send)
            std::exchange(send, nullptr)(makeErrorResponse(error_kind::Internal, "the request was not answered"));
    }

    std::function<void(http_response)> send;
};

http_responder::http_responder(std::function<void(http_response)> send)
    : m_right(std::make_shared<shared_right>(std::move(send)))
{
}

bool http_responder::operator()(http_response response) const
{
    if (!m_right->send)
        return false;
    std::exchange(m_right->send, nullptr)(std::move(response));
    return true;
}

bool http_responder::isAnswered() const { return !m_right->send; }

} // namespace chervilport
