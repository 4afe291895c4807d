#ifndef POLLENWICK_TESTS_AGENT_BACKENDFIXTURE_H
#define POLLENWICK_TESTS_AGENT_BACKENDFIXTURE_H

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "agent/Backend.h"

namespace pollenwick::agent {

inline PlatformAdapter testProtocol() {
  PlatformAdapter Protocol;
  Protocol.RequestIdHeader = "X-Id";
  Protocol.DeadlineHeader = "X-Left";
  Protocol.ApiKeyHeader = "X-Key";
  Protocol.CustomerHeader = "X-Customer";
  Protocol.CallerServiceHeader = "X-Caller";
  Protocol.ExpectedServerHeader = "X-Server";
  Protocol.ServerStampHeader = "X-Stamp";
  Protocol.ServerLoadHeader = "X-Load";
  Protocol.NotRunHeader = "X-Not-Run";
  Protocol.RequestLimitHeaders = {"X-Limit"};
  Protocol.ServerLeavingHeaders = {"X-Leaving"};
  return Protocol;
}

/// A `Backend` for the server `i-1` with 4 slots, on an event loop that runs
/// only while the test waits.
struct BackendFixture {
  PlatformAdapter Protocol = testProtocol();
  LogWriter Log{"test"};
  EventLoop Loop;
  std::vector<std::uint64_t> CrashFingerprints;
  Backend Target;
  ServerEntry Entry;

  explicit BackendFixture(const std::string &Address,
                          const ResponseLimits &Limits = {})
      : Target(
            Loop, Protocol, Log, Address,
            [this](const std::vector<std::uint64_t> &Fingerprints) {
              CrashFingerprints.insert(CrashFingerprints.end(),
                                       Fingerprints.begin(),
                                       Fingerprints.end());
            },
            Limits) {
    Entry.Id = HostId("i-1");
    Entry.Address = Address;
    Entry.Slots = 4;
    Target.setServer(&Entry, 100);
  }

  CallRequest request(const std::string &Id, int DeadlineMs = 1000) {
    CallRequest Request;
    Request.RequestId = Id;
    Request.ServerId = "i-1";
    Request.Deadline = Loop.now() + std::chrono::milliseconds(DeadlineMs);
    Request.Retryable = true;
    Request.Method = "GET";
    Request.Target = "/x/";
    Request.Headers = "Host: h\r\nX-Id: " + Id + "\r\n";
    Request.Fingerprint = 7;
    return Request;
  }

  void runFor(int Ms) {
    Loop.callAt(Loop.now() + std::chrono::milliseconds(Ms),
                [&] { Loop.stop(); });
    Loop.run();
    Loop.clearStop();
  }

  /// Submits one call and runs the loop until its result arrives. Fails the
  /// test after 4 s without a result.
  CallResult callAndWait(const std::string &Id, int DeadlineMs = 1000) {
    return callAndWait(request(Id, DeadlineMs));
  }
  CallResult callAndWait(CallRequest &&Request) {
    std::optional<CallResult> Got;
    Target.submit(std::move(Request), [&](CallResult &&Answer) {
      Got = std::move(Answer);
      Loop.stop();
    });
    const TimerId Timeout =
        Loop.callAt(Loop.now() + std::chrono::seconds(4), [&] { Loop.stop(); });
    Loop.run();
    Loop.cancelTimer(Timeout);
    Loop.clearStop();
    REQUIRE(Got.has_value());
    return *Got;
  }
};

} // namespace pollenwick::agent

#endif
