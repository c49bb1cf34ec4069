// Writes numbered events with easylogging++. The VMs have no disks, so no log
// file is written.
#include "mimosacroft/daemon/event_log.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace mimosacroft::daemon
{

namespace
{

// Quotes a value that would not read back as one word.
std::string quoted(const std::string& value)
{
    if (!value.empty() &&
        value.find_first_of(" \"=\n\r\t") == std::string::npos)
        return value;
    std::string out = "\"";
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' || c == '\r' ? ' ' : c;
    }
    return out + "\"";
}

} // namespace

void start_log()
{
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    conf.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

std::string format(const core::log_event& event)
{
    std::string out = std::to_string(static_cast<int>(event.id)) + " " +
                      std::string(core::describe(event.id).name);
    for (const auto& [key, value] : event.fields)
        out += " " + key + "=" + quoted(value);
    return out;
}

void write(const core::log_event& event)
{
    switch (core::describe(event.id).level)
    {
    case core::severity::info:
        LOG(INFO) << format(event);
        break;
    case core::severity::warning:
        LOG(WARNING) << format(event);
        break;
    case core::severity::error:
        LOG(ERROR) << format(event);
        break;
    }
}

} // namespace mimosacroft::daemon
