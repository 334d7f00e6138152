#include "chervilport/settings/settings_error.h"

namespace chervilport {

std::string describe(const settings_error& error)
{
    std::string text = error.file;
    if (error.line)
        text += ":" + std::to_string(error.line);
    if (!error.key.empty())
        text += ": " + error.key;
    return text + ": " + error.message;
}

} // namespace chervilport
