#include "ScriptedServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace pollenwick {

ScriptedServer::ScriptedServer(std::vector<Script> TheScripts)
    : Scripts(std::move(TheScripts)),
      Listener(Poco::Net::SocketAddress("127.0.0.1:0")),
      Thread([this] { serve(); }) {}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  Thread.join();
}

std::string ScriptedServer::address() const {
  return "127.0.0.1:" + std::to_string(Listener.address().port());
}

void ScriptedServer::serve() {
  for (const Script &Next : Scripts) {
    while (!Listener.poll(Poco::Timespan(0, 20'000),
                          Poco::Net::Socket::SELECT_READ))
      if (Stopping)
        return;
    Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    Socket.setReceiveTimeout(Poco::Timespan(2, 0));
    ++ConnectionCount;
    try {
      Next(Socket);
    } catch (const Poco::Exception &) {
      // The peer closed the connection before the script ended.
    }
  }
}

std::string ScriptedServer::readRequest(Poco::Net::StreamSocket &Socket) {
  std::string Head;
  char Byte = 0;
  while (!Head.ends_with("\r\n\r\n") && Socket.receiveBytes(&Byte, 1) == 1)
    Head.push_back(Byte);
  const std::string Name = "X-Id: ";
  const std::size_t At = Head.find(Name);
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Name.size();
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

void ScriptedServer::write(Poco::Net::StreamSocket &Socket,
                           const std::string &Text) {
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
}

std::string ScriptedServer::makeResponse(const std::string &Id,
                                         const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id +
         "\r\nX-Stamp: s\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

bool ScriptedServer::waitForClose(Poco::Net::StreamSocket &Socket,
                                  int TimeoutMs) {
  Socket.setReceiveTimeout(
      Poco::Timespan(TimeoutMs / 1000, (TimeoutMs % 1000) * 1000L));
  char Byte = 0;
  try {
    return Socket.receiveBytes(&Byte, 1) == 0;
  } catch (const Poco::TimeoutException &) {
    return false;
  } catch (const Poco::Exception &) {
    return true;
  }
}

} // namespace pollenwick
