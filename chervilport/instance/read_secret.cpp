#include "chervilport/instance/read_secret.h"

#include "chervilport/core/chervilport_error.h"

#include <fstream>

namespace chervilport {

std::string readSecret(const std::string& path)
{
    if (path.empty())
        return {};
    std::ifstream stream(path);
    std::string line;
    if (!std::getline(stream, line) || line.empty())
        throw chervilport_error(error_kind::InvalidRequest, "the secret file " + path + " cannot be read or is empty");
    return line;
}

} // namespace chervilport
