#include "chervilport/logging/log.h"

#include "chervilport/logging/line_writer.h"

#include <cstdlib>
#include <easylogging++.h>
#include <memory>

namespace {

/// easylogging++ runs `whoami` and `hostname` during static initialization when these variables are unset. This program
/// must not start other processes, so the variables are set before, in the same translation unit.
const bool isIdentitySet = [] {
    setenv("USER", "chervilport", 0);
    setenv("HOSTNAME", "localhost", 0);
    return true;
}();

} // namespace

INITIALIZE_EASYLOGGINGPP

namespace chervilport {

namespace {

    constexpr int standardOutput = 1;

    /// Passes the lines that easylogging++ has formatted to the writer of standard output.
    class output_callback : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            const auto* const message = data->logMessage();
            writer().write(message->logger()->logBuilder()->build(message, true));
        }

    private:
        static line_writer& writer()
        {
            static line_writer output(standardOutput);
            return output;
        }
    };

    void disableBelow(el::Configurations& configurations, log_level lowest)
    {
        configurations.set(
            el::Level::Debug, el::ConfigurationType::Enabled, lowest <= log_level::Debug ? "true" : "false");
        configurations.set(
            el::Level::Info, el::ConfigurationType::Enabled, lowest <= log_level::Info ? "true" : "false");
        configurations.set(
            el::Level::Warning, el::ConfigurationType::Enabled, lowest <= log_level::Warning ? "true" : "false");
    }

    std::string_view prefixComponent(std::string& buffer, std::string_view component, std::string_view line)
    {
        buffer = component;
        buffer += ": ";
        buffer += line;
        return buffer;
    }

} // namespace

void setUpLog(log_level lowest, const std::string& file)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configurations.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (!file.empty())
        configurations.setGlobally(el::ConfigurationType::Filename, file);
    disableBelow(configurations, lowest);
    el::Loggers::reconfigureAllLoggers(configurations);
    if (file.empty())
        el::Helpers::installLogDispatchCallback<output_callback>("standard output");
}

void writeLog(log_level level, std::string_view line)
{
    switch (level) {
    case log_level::Debug:
        LOG(DEBUG) << line;
        return;
    case log_level::Info:
        LOG(INFO) << line;
        return;
    case log_level::Warning:
        LOG(WARNING) << line;
        return;
    case log_level::Error:
        LOG(ERROR) << line;
        return;
    }
}

void writeLog(log_level level, std::string_view component, std::string_view line)
{
    std::string buffer;
    writeLog(level, prefixComponent(buffer, component, line));
}

} // namespace chervilport
