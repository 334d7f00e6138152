#include "chervilport/logging/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace chervilport {

namespace {

    void disableBelow(el::Configurations& configurations, log_level lowest)
    {
        configurations.set(
            el::Level::Debug, el::ConfigurationType::Enabled, lowest <= log_level::Debug ? "true" : "false");
        configurations.set(
            el::Level::Info, el::ConfigurationType::Enabled, lowest <= log_level::Info ? "true" : "false");
        configurations.set(
            el::Level::Warning, el::ConfigurationType::Enabled, lowest <= log_level::Warning ? "true" : "false");
    }

} // namespace

void setUpLog(log_level lowest, const std::string& file)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configurations.setGlobally(el::ConfigurationType::ToFile, "true");
    configurations.setGlobally(el::ConfigurationType::Filename, file.empty() ? "/dev/stderr" : file);
    disableBelow(configurations, lowest);
    el::Loggers::reconfigureAllLoggers(configurations);
}

void writeLog(log_level level, std::string_view part, std::string_view line)
{
    switch (level) {
    case log_level::Debug:
        LOG(DEBUG) << part << ": " << line;
        return;
    case log_level::Info:
        LOG(INFO) << part << ": " << line;
        return;
    case log_level::Warning:
        LOG(WARNING) << part << ": " << line;
        return;
    case log_level::Error:
        LOG(ERROR) << part << ": " << line;
        return;
    }
}

} // namespace chervilport
