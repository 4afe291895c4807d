#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <Poco/Exception.h>
#include <gflags/gflags.h>

#include "agent/Agent.h"
#include "agent/Settings.h"
#include "platform/PlatformAdapter.h"
#include "platform/StoreReader.h"

namespace {

enum ExitCode : int { Stopped = 0, BadSettings = 2, CannotStart = 3 };

/// Turns signals into calls of the agent, on a thread of its own.
void handleSignals(sigset_t Signals, pollenwick::agent::Agent &Process) {
  while (true) {
    int Signal = 0;
    if (sigwait(&Signals, &Signal) != 0)
      continue;
    if (Signal == SIGHUP)
      Process.reload();
    else
      Process.beginDrain();
  }
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace pollenwick;
  mallopt(M_ARENA_MAX, 1);
  // Large bodies are mapped one by one, so that their memory is returned as
  // soon as they are freed. Otherwise the threshold grows with the bodies, and
  // blocks stay in the heap behind small ones.
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  gflags::SetVersionString(POLLENWICK_VERSION);
  gflags::SetUsageMessage(
      "runs beside one backend server on the users' platform.\n"
      "Settings are flags; POLLENWICK_SETTINGS names a file of --name=value "
      "lines.\nExit codes: 0 stopped, 2 bad settings, 3 cannot start.");
  agent::Settings Options;
  const std::vector<std::string> Errors =
      agent::readSettings(Argc, Argv, Options);
  for (const std::string &Error : Errors)
    std::cerr << "pollenwick-agent: " << Error << '\n';
  if (!Errors.empty())
    return BadSettings;
  // All threads inherit the mask, so that only one takes the signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto Store = std::make_unique<platform::StoreReader>(
        Options.SourceAddress, readLimitsFor(Options.ApplyTime));
    agent::Agent Process(std::move(Options), platform::platformAdapter(),
                         std::move(Store));
    std::thread([&] { handleSignals(Signals, Process); }).detach();
    Process.run();
    std::cout.flush();
    // The signal thread and a waiting read of the store still refer to the
    // process; there is nothing to save.
    _exit(Stopped);
  } catch (const Poco::Exception &Error) {
    std::cerr << "pollenwick-agent: " << Error.displayText()
              << "; check the addresses in the settings\n";
    return CannotStart;
  }
}
