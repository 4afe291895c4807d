#include "node/Log.h"

#include <sstream>

#include <Poco/JSON/Object.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace pollenwick {
namespace {

bool UseJson = false;
std::string HostName;

std::string formatLine(std::string_view ComponentName, std::string_view Event,
                       std::initializer_list<LogField> Fields) {
  std::ostringstream Out;
  if (UseJson) {
    Poco::JSON::Object Line(Poco::JSON_PRESERVE_KEY_ORDER);
    Line.set("host", HostName);
    Line.set("part", std::string(ComponentName));
    Line.set("event", std::string(Event));
    for (const LogField &Field : Fields)
      Line.set(std::string(Field.Name), Field.Value);
    Line.stringify(Out);
    return Out.str();
  }
  Out << "host=" << HostName << " part=" << ComponentName << " event=\""
      << Event << '"';
  for (const LogField &Field : Fields)
    Out << ' ' << Field.Name << "=\"" << Field.Value << '"';
  return Out.str();
}

} // namespace

void configureLog(bool Json, const std::string &Host) {
  UseJson = Json;
  HostName = Host;
  const log4cxx::LayoutPtr Layout(
      new log4cxx::PatternLayout(Json ? "%m%n" : "%d{ISO8601} %-5p %m%n"));
  const log4cxx::AppenderPtr Appender(new log4cxx::ConsoleAppender(
      Layout, log4cxx::ConsoleAppender::getSystemErr()));
  log4cxx::Logger::getRootLogger()->addAppender(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void logState(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  LOG4CXX_INFO(log4cxx::Logger::getRootLogger(),
               formatLine(ComponentName, Event, Fields));
}

void logError(std::string_view ComponentName, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  LOG4CXX_ERROR(log4cxx::Logger::getRootLogger(),
                formatLine(ComponentName, Event, Fields));
}

} // namespace pollenwick
