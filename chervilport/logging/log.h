#pragma once

#include "chervilport/logging/log_level.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Configures the log of the process. Call once before other threads start. Lines below `lowest` are not written.
/// `file` is the path of the log file; the log goes to standard output when it is empty.
void setUpLog(log_level lowest, const std::string& file);

/// Writes a line without a prefix.
void writeLog(log_level, std::string_view line);

/// Writes a line with the name of a component as prefix, for example "jobs".
void writeLog(log_level, std::string_view component, std::string_view line);

/// Writes a line of level Debug.
inline void logDebug(std::string_view component, std::string_view line) { writeLog(log_level::Debug, component, line); }

/// Writes a line of level Info.
inline void logInfo(std::string_view component, std::string_view line) { writeLog(log_level::Info, component, line); }

/// Writes a line of level Warning.
inline void logWarning(std::string_view component, std::string_view line)
{
    writeLog(log_level::Warning, component, line);
}

/// Writes a line of level Error.
inline void logError(std::string_view component, std::string_view line) { writeLog(log_level::Error, component, line); }

} // namespace chervilport
